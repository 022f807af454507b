/** One figure of a role at the letter's size. */
export interface CapacityRow {
    readonly what: string;
    /** How the figure comes about. */
    readonly arithmetic: string;
    readonly value: string;
    /** Left out where the letter gives no budget. */
    readonly verdict?: string;
}

/** A role, or a part of one, at the letter's size. */
export interface RoleSection {
    readonly title: string;
    /** What carries it in today's code. */
    readonly today: string;
    readonly rows: readonly CapacityRow[];
    /** What breaks a budget and what replaces it, one paragraph each. What today's code does not have says so. */
    readonly next: readonly string[];
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
