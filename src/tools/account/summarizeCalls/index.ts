import { LoggedCall } from "../parseCalls/index.js";

/** Statistics of the calls to one route that arrived in one time window; times in milliseconds. */
export interface CallStatistics {
    /** Start of the window, in milliseconds since the epoch. */
    readonly windowStartMs: number;
    readonly route: string;
    readonly calls: number;
    /** Answered calls whose first byte met the target and whose pauses stayed within the bound. */
    readonly onTime: number;
    /** Answered calls whose first byte came after the route's target. */
    readonly lateFirstBytes: number;
    /** Answered calls with a pause longer than the route's bound. */
    readonly longPauses: number;
    /** Number of calls without a complete answer, by outcome. */
    readonly unanswered: ReadonlyMap<string, number>;
    readonly waitP95Ms: number;
    readonly firstByteP50Ms: number;
    readonly firstByteP95Ms: number;
    readonly longestPauseP95Ms: number;
    /** Share of prompt tokens expected in the chosen upstream's prefix cache, from 0 to 1. */
    readonly cachedShare: number;
    /** Number of distinct upstreams that the calls were sent to. */
    readonly upstreams: number;
    /** Maximum number of requests running at a call's upstream when the call was granted. */
    readonly maxRunning: number;
}

/**
 * Computes statistics per window and route, ordered by time, then by route name.
 *
 * @param windowMs - Length of a window, in milliseconds.
 */
export function summarizeCalls(calls: readonly LoggedCall[], windowMs: number): CallStatistics[] {
    const groups = new Map<string, LoggedCall[]>();
    for (const call of calls) {
        const windowStartMs = Math.floor(call.startedAt / windowMs) * windowMs;
        const key = `${windowStartMs} ${call.route}`;
        const group = groups.get(key);
        if (group) group.push(call);
        else groups.set(key, [call]);
    }
    const statistics = [...groups.values()].map(group => summarizeGroup(group, windowMs));
    return statistics.sort((a, b) => a.windowStartMs - b.windowStartMs || a.route.localeCompare(b.route));
}

function summarizeGroup(group: readonly LoggedCall[], windowMs: number): CallStatistics {
    const [{ route, startedAt }] = group;
    const answered = group.filter(({ outcome }) => outcome === "answered");
    const promptTokenCount = sum(group.map(({ promptTokens }) => promptTokens));
    const firstByteTimes = answered.map(({ firstMs = 0 }) => firstMs);
    return {
        windowStartMs: Math.floor(startedAt / windowMs) * windowMs,
        route,
        calls: group.length,
        onTime: answered.filter(({ isFirstByteLate, hasLongPause }) => !isFirstByteLate && !hasLongPause)
            .length,
        lateFirstBytes: answered.filter(({ isFirstByteLate }) => isFirstByteLate).length,
        longPauses: answered.filter(({ hasLongPause }) => hasLongPause).length,
        unanswered: countUnanswered(group),
        waitP95Ms: quantile(group.map(({ waitedMs }) => waitedMs), 0.95),
        firstByteP50Ms: quantile(firstByteTimes, 0.5),
        firstByteP95Ms: quantile(firstByteTimes, 0.95),
        longestPauseP95Ms: quantile(answered.map(({ gapMs }) => gapMs), 0.95),
        cachedShare: promptTokenCount === 0
            ? 0
            : sum(group.map(({ cachedTokens }) => cachedTokens)) / promptTokenCount,
        upstreams: new Set(group.map(({ upstream }) => upstream)).size,
        maxRunning: Math.max(...group.map(({ running }) => running)),
    };
}

function countUnanswered(group: readonly LoggedCall[]): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { outcome } of group) {
        if (outcome !== "answered") counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    }
    return counts;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

/** Returns the smallest value with at least the given share of all values at or below it; 0 without values. */
function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
}
