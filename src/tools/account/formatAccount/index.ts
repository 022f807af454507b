import { CallSum } from "../sumCalls/index.js";

const HEAD = [
    "from s",
    "route",
    "calls",
    "in time",
    "first late",
    "pause late",
    "wait p95",
    "first p50",
    "first p95",
    "pause p95",
    "held",
    "upstreams",
    "running",
    "unanswered",
];
const MS_PER_SECOND = 1_000;

/**
 * Writes sums as a table of text, a line for each window and route; times in milliseconds, windows in seconds from the first one.
 *
 * @example
 * console.log(formatAccount(sumCalls(calls, 2_000)));
 */
export function formatAccount(sums: readonly CallSum[]): string {
    const start = sums[0]?.from ?? 0;
    const rows = [HEAD, ...sums.map(each => formatRow(each, start))];
    const widths = HEAD.map((_, column) => Math.max(...rows.map(row => row[column].length)));
    return rows.map(row => row.map((cell, column) => cell.padStart(widths[column])).join("  ")).join("\n");
}

function formatRow(each: CallSum, start: number): string[] {
    return [
        String((each.from - start) / MS_PER_SECOND),
        each.route,
        String(each.calls),
        String(each.inTime),
        String(each.firstLate),
        String(each.gapLate),
        String(each.waitedP95),
        String(each.firstP50),
        String(each.firstP95),
        String(each.gapP95),
        `${Math.round(100 * each.heldShare)}%`,
        String(each.upstreams),
        String(each.mostRunning),
        [...each.unanswered].map(([outcome, count]) => `${outcome} ${count}`).join(", ") || "-",
    ];
}
