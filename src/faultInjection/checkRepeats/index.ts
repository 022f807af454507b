import { Arrival } from "../../emulator/index.js";
import { RepeatLimits } from "../../passthrough/index.js";
import { InvariantError } from "../recordingStateMachine/index.js";

/** The window of a run in which a pool's retries took the largest part of their limit, or passed it by most. */
export interface RepeatWindow {
    /** Start of the window, in milliseconds on the monotonic clock. */
    readonly from: number;
    /** Arrivals beyond the first of their request, at all upstreams together. */
    readonly repeats: number;
    readonly allowed: number;
}

/** What is known of a fleet's retries. */
export interface RepeatSubject {
    readonly upstreams: readonly { readonly arrivals: readonly Pick<Arrival, "request" | "at">[]; }[];
    /** Times at which callers sent calls, in milliseconds on the monotonic clock. */
    readonly callTimes: readonly number[];
    readonly layout: { readonly repeats: RepeatLimits; };
}

/**
 * Finds the worst window of a run, by what upstreams and callers saw.
 *
 * @param arrivals - All requests that reached the upstreams of one pool.
 * @param sentAt - Times at which callers sent requests for the pool, in milliseconds on the monotonic clock.
 */
export function findWorstRepeats(
    arrivals: readonly Pick<Arrival, "request" | "at">[],
    sentAt: readonly number[],
    { ratio, windowMs, slack }: RepeatLimits,
): RepeatWindow {
    const repeats = listRepeats(arrivals);
    const sent = [...sentAt].sort((a, b) => a - b);
    const countSent = (from: number): number => countBetween(sent, from, from + windowMs);
    const windows = repeats.map((from, index) => {
        const requests = Math.max(countSent(from), countSent(from - windowMs / 2), countSent(from - windowMs));
        const count = countBelow(repeats, from + windowMs) - index;
        return { from, repeats: count, allowed: ratio * requests + slack };
    });
    return windows.reduce((a, b) => shareOf(b) > shareOf(a) ? b : a, { from: 0, repeats: 0, allowed: slack });
}

/** Returns the part of a window's limit that its retries take. */
function shareOf({ repeats, allowed }: RepeatWindow): number {
    return repeats === 0 ? 0 : repeats / allowed;
}

/**
 * Checks that a pool got no more retries in any window than its limits allow.
 *
 * @throws InvariantError when a window has more.
 */
export function checkRepeats(...args: Parameters<typeof findWorstRepeats>): RepeatWindow {
    const worst = findWorstRepeats(...args);
    const { from, repeats, allowed } = worst;
    if (repeats <= allowed) return worst;
    throw new InvariantError(
        `${repeats} retries reach the pool within a window from ${Math.round(from)} ms, ${allowed} are allowed`,
    );
}

/**
 * Checks the retries of a fleet whose upstreams are all of one pool.
 *
 * @throws InvariantError when a window has more than the fleet's limits allow.
 */
export function checkFleetRepeats({ upstreams, callTimes, layout }: RepeatSubject): RepeatWindow {
    return checkRepeats(upstreams.flatMap(({ arrivals }) => arrivals), callTimes, layout.repeats);
}

/** Returns the times of the arrivals that are not the first of their request, in order. */
function listRepeats(arrivals: readonly Pick<Arrival, "request" | "at">[]): number[] {
    const seen = new Set<string>();
    const sorted = [...arrivals].sort((a, b) => a.at - b.at);
    return sorted.filter(({ request }) => seen.has(request) || !seen.add(request)).map(({ at }) => at);
}

function countBetween(sorted: readonly number[], from: number, to: number): number {
    return countBelow(sorted, to) - countBelow(sorted, from);
}

/** Returns how many of the sorted times are before a limit. */
function countBelow(sorted: readonly number[], limit: number): number {
    let low = 0;
    let high = sorted.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (sorted[middle] < limit) low = middle + 1;
        else high = middle;
    }
    return low;
}
