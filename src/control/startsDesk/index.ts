import { WorkspaceId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { StartCounts, StartWindow } from "../../usage/index.js";
import { PeerRouter } from "../../wire/index.js";

/** Told by entries what they have counted; the body is a `StartsReport`. */
export const STARTS_METHOD = "control.starts";

/**
 * An entry that has said nothing for this long has ended, in milliseconds; its counts still hold. Longer than most cuts: the windows
 * of an entry that has ended wait a little longer, and those of one that comes back are whole.
 */
const LIVE_MS = 20_000;
/** Windows older than this are closed, in milliseconds. */
const KEPT_MS = 90_000;

/** What one run of an entry has counted, window by window, since it began. */
export interface StartsReport {
    readonly host: string;
    readonly incarnation: string;
    /** True time at which this was counted, in milliseconds since the epoch. */
    readonly countedAt: number;
    readonly windows: readonly StartWindow[];
}

interface Run {
    /** True time up to which its counts are whole, in milliseconds since the epoch. */
    countedAt: number;
    /** Monotonic, in milliseconds. */
    heardAt: number;
    readonly windows: Map<number, StartCounts>;
}

/**
 * What entries have counted, in the memory of each control process: a new holder has the counts of entries that are lost since.
 *
 * @example
 * if (desk.isWhole(windowEnd)) await close(desk.sum(window));
 */
export class StartsDesk {
    private readonly runs = new Map<string, Run>();

    constructor(private readonly clock: Clock, router: PeerRouter) {
        router.add(STARTS_METHOD, body => this.take(body as StartsReport));
    }

    /** Takes a report. Counts only grow, so that of two for one window the larger is the later. */
    take({ host, incarnation, countedAt, windows }: StartsReport): void {
        const name = `${host} ${incarnation}`;
        const run = this.runs.get(name) ?? { countedAt, heardAt: 0, windows: new Map<number, StartCounts>() };
        this.runs.set(name, run);
        run.heardAt = this.clock.monotonic();
        run.countedAt = Math.max(run.countedAt, countedAt);
        for (const { window, counts } of windows) {
            run.windows.set(window, larger(run.windows.get(window) ?? {}, counts));
        }
    }

    /** Whether each entry that lives has reported past a moment of true time. */
    isWhole(until: number): boolean {
        const oldest = this.clock.monotonic() - LIVE_MS;
        const live = [...this.runs.values()].filter(({ heardAt }) => heardAt >= oldest);
        return live.length > 0 && live.every(({ countedAt }) => countedAt >= until);
    }

    /** The first window that any entry has counted in; undefined when there is none. */
    firstWindow(): number | undefined {
        const windows = [...this.runs.values()].flatMap(run => [...run.windows.keys()]);
        return windows.length === 0 ? undefined : Math.min(...windows);
    }

    /** What all entries together have counted in a window. */
    sum(window: number): StartCounts {
        const sums: Record<WorkspaceId, number> = {};
        for (const run of this.runs.values()) {
            for (const [name, count] of Object.entries(run.windows.get(window) ?? {})) {
                const workspace = name as WorkspaceId;
                sums[workspace] = (sums[workspace] ?? 0) + count;
            }
        }
        return sums;
    }

    /** Forgets what is too old to be closed. */
    forgetBefore(now: number, windowMs: number): void {
        const oldest = Math.floor((now - KEPT_MS) / windowMs);
        for (const [name, run] of this.runs) {
            for (const window of run.windows.keys()) {
                if (window < oldest) run.windows.delete(window);
            }
            const isOver = this.clock.monotonic() - run.heardAt > KEPT_MS;
            if (isOver && run.windows.size === 0) this.runs.delete(name);
        }
    }
}

function larger(one: StartCounts, other: StartCounts): StartCounts {
    const result: Record<WorkspaceId, number> = { ...one };
    for (const [name, count] of Object.entries(other)) {
        const workspace = name as WorkspaceId;
        result[workspace] = Math.max(result[workspace] ?? 0, count);
    }
    return result;
}
