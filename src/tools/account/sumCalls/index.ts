import { LoggedCall } from "../readCalls/index.js";

/** What became of the calls of one route that arrived in one window; times in milliseconds. */
export interface CallSum {
    /** Wall time at which the window begins, since the epoch. */
    readonly from: number;
    readonly route: string;
    readonly calls: number;
    /** Answered, with the first byte and each pause in time. */
    readonly inTime: number;
    readonly firstLate: number;
    readonly gapLate: number;
    /** Calls without a whole answer, by outcome. */
    readonly unanswered: ReadonlyMap<string, number>;
    readonly waitedP95: number;
    readonly firstP50: number;
    readonly firstP95: number;
    readonly gapP95: number;
    /** The share of prompt tokens that were held where they were sent, from 0 to 1. */
    readonly heldShare: number;
    readonly upstreams: number;
    readonly mostRunning: number;
}

/**
 * Sums calls up by window and route, in order of time and name.
 *
 * @param windowMs - How long a window is, in milliseconds.
 */
export function sumCalls(calls: readonly LoggedCall[], windowMs: number): CallSum[] {
    const groups = new Map<string, LoggedCall[]>();
    for (const call of calls) {
        const from = Math.floor(call.startedAt / windowMs) * windowMs;
        const key = `${from} ${call.route}`;
        const group = groups.get(key);
        if (group) group.push(call);
        else groups.set(key, [call]);
    }
    const sums = [...groups.values()].map(group => sumGroup(group, windowMs));
    return sums.sort((a, b) => a.from - b.from || a.route.localeCompare(b.route));
}

function sumGroup(group: readonly LoggedCall[], windowMs: number): CallSum {
    const [{ route, startedAt }] = group;
    const answered = group.filter(({ outcome }) => outcome === "answered");
    const prompt = sum(group.map(({ promptTokens }) => promptTokens));
    const firsts = answered.map(({ firstMs = 0 }) => firstMs);
    return {
        from: Math.floor(startedAt / windowMs) * windowMs,
        route,
        calls: group.length,
        inTime: answered.filter(({ isFirstLate, isGapLate }) => !isFirstLate && !isGapLate).length,
        firstLate: answered.filter(({ isFirstLate }) => isFirstLate).length,
        gapLate: answered.filter(({ isGapLate }) => isGapLate).length,
        unanswered: countOutcomes(group),
        waitedP95: quantile(group.map(({ waitedMs }) => waitedMs), 0.95),
        firstP50: quantile(firsts, 0.5),
        firstP95: quantile(firsts, 0.95),
        gapP95: quantile(answered.map(({ gapMs }) => gapMs), 0.95),
        heldShare: prompt === 0 ? 0 : sum(group.map(({ heldTokens }) => heldTokens)) / prompt,
        upstreams: new Set(group.map(({ upstream }) => upstream)).size,
        mostRunning: Math.max(...group.map(({ running }) => running)),
    };
}

function countOutcomes(group: readonly LoggedCall[]): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { outcome } of group) {
        if (outcome !== "answered") counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    }
    return counts;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

/** The smallest value that so many of all stay at or under; 0 without values. */
function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
}
