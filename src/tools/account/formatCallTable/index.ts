import { CallStatistics } from "../summarizeCalls/index.js";

const COLUMN_TITLES = [
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
 * Formats the statistics as a text table, one line per window and route. Times are in milliseconds; a window's start is in
 * seconds after the first window's.
 *
 * @example
 * console.log(formatCallTable(summarizeCalls(calls, 2_000)));
 */
export function formatCallTable(statistics: readonly CallStatistics[]): string {
    const firstWindowMs = statistics[0]?.windowStartMs ?? 0;
    const rows = [COLUMN_TITLES, ...statistics.map(each => formatRow(each, firstWindowMs))];
    const widths = COLUMN_TITLES.map((_, column) => Math.max(...rows.map(row => row[column].length)));
    return rows.map(row => row.map((cell, column) => cell.padStart(widths[column])).join("  ")).join("\n");
}

function formatRow(each: CallStatistics, firstWindowMs: number): string[] {
    return [
        String((each.windowStartMs - firstWindowMs) / MS_PER_SECOND),
        each.route,
        String(each.calls),
        String(each.onTime),
        String(each.lateFirstBytes),
        String(each.longPauses),
        String(each.waitP95Ms),
        String(each.firstByteP50Ms),
        String(each.firstByteP95Ms),
        String(each.longestPauseP95Ms),
        `${Math.round(100 * each.cachedShare)}%`,
        String(each.upstreams),
        String(each.maxRunning),
        [...each.unanswered].map(([outcome, count]) => `${outcome} ${count}`).join(", ") || "-",
    ];
}
