/** One figure of a role at the letter's size. */
export interface CapacityRow {
    readonly what: string;
    /** How the figure comes about. */
    readonly arithmetic: string;
    readonly value: string;
    /** Left out where the letter gives no budget. */
    readonly verdict?: string;
}

/** What a part costs each node, for the sum over all parts. */
export interface NodeLoad {
    /** Milliseconds of processor time a second. */
    readonly processorMs: number;
    readonly bytesPerSecond: number;
}

/** What a part costs each node today, and with the mechanisms that replace what breaks a budget. */
export interface NodeLoads {
    readonly today: NodeLoad;
    readonly next: NodeLoad;
}

/** A role, or a part of one, at the letter's size. */
export interface RoleSection {
    readonly title: string;
    /** What carries it in today's code. */
    readonly today: string;
    readonly rows: readonly CapacityRow[];
    /** What breaks a budget and what replaces it, one paragraph each. What today's code does not have says so. */
    readonly next: readonly string[];
    /** Left out for what does not fall on each node. */
    readonly loads?: NodeLoads;
}

/** Marks what is designed and not built. */
export const NOT_BUILT = "**Not in today's code.**";

/** Judges a figure by its budget. */
export function judge(value: number, budget: number): string {
    const share = value / budget;
    const percent = share < 10 ? `${Math.round(share * 100)} %` : `${Math.round(share)} times`;
    return share <= 1 ? `fits, ${percent}` : `**breaks it, ${percent}**`;
}

/** Writes a section as Markdown. */
export function formatSection({ title, today, rows, next }: RoleSection): string {
    const lines = rows.map(row => `| ${row.what} | ${row.arithmetic} | ${row.value} | ${row.verdict ?? ""} |`);
    const table = ["| what | arithmetic | at the letter's size | budget |", "| --- | --- | --- | --- |", ...lines].join(
        "\n",
    );
    return [`## ${title}`, today, table, ...next].join("\n\n");
}
