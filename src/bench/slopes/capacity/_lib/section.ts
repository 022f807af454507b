/** Table row with one value of a component at `TARGET_SIZE`. */
export interface CapacityRow {
    /** Subject of the value, in words. */
    readonly subject: string;
    /** Calculation of the value, in words. */
    readonly arithmetic: string;
    readonly value: string;
    /** Comparison with the budget; omitted where there is none. */
    readonly verdict?: string;
}

/** Load of a component on each node, for the sum over all components. */
export interface NodeLoad {
    /** Processor time in milliseconds per second. */
    readonly processorMs: number;
    readonly bytesPerSecond: number;
}

/** Load of a component on each node in today's code, and with the mechanisms designed to meet the budgets. */
export interface NodeLoads {
    readonly today: NodeLoad;
    readonly designed: NodeLoad;
}

/** Section of the page on one component at `TARGET_SIZE`. */
export interface RoleSection {
    readonly title: string;
    /** Description of today's code, as a paragraph. */
    readonly today: string;
    readonly rows: readonly CapacityRow[];
    /** Exceeded budgets and the mechanisms designed to meet them, as paragraphs; `NOT_BUILT` marks what doesn't exist yet. */
    readonly designed: readonly string[];
    /** Omitted for a component that doesn't run on every node. */
    readonly loads?: NodeLoads;
}

/** Marks mechanisms that are designed but not implemented. */
export const NOT_BUILT = "**Not in today's code.**";

/** Formats whether a value fits its budget, and its share of the budget. */
export function formatVerdict(value: number, budget: number): string {
    const ratio = value / budget;
    const percent = ratio < 10 ? `${Math.round(ratio * 100)} %` : `${Math.round(ratio)} times`;
    return ratio <= 1 ? `fits, ${percent}` : `**breaks it, ${percent}**`;
}

/** Formats a section as Markdown. */
export function formatSection({ title, today, rows, designed }: RoleSection): string {
    const lines = rows.map(row => `| ${row.subject} | ${row.arithmetic} | ${row.value} | ${row.verdict ?? ""} |`);
    const table = ["| what | arithmetic | at the letter's size | budget |", "| --- | --- | --- | --- |", ...lines].join(
        "\n",
    );
    return [`## ${title}`, today, table, ...designed].join("\n\n");
}
