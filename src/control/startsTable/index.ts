import { Clock } from "../../ports/index.js";
import { RunReport, RunStarts, StartWindow } from "../../usage/index.js";
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
}

/**
 * What entries have counted, in the memory of each control process: a new holder has the counts of entries that are lost since.
 *
 * @example
 * if (table.isWhole(windowEnd)) await close(table.counts.sum(window));
 */
export class StartsTable {
    readonly counts = new RunStarts();
    /** What has come since it was last taken to be noted. */
    private readonly unnoted = new RunStarts();
    private readonly runs = new Map<string, Run>();

    constructor(private readonly clock: Clock, router: PeerRouter) {
        router.add(STARTS_METHOD, body => this.take(body as StartsReport));
    }

    /** Takes a report. */
    take({ host, incarnation, countedAt, windows }: StartsReport): void {
        const name = `${host} ${incarnation}`;
        const run = this.runs.get(name) ?? { countedAt, heardAt: 0 };
        this.runs.set(name, run);
        run.heardAt = this.clock.monotonic();
        run.countedAt = Math.max(run.countedAt, countedAt);
        const grown = this.counts.merge(name, windows);
        this.unnoted.merge(name, grown);
    }

    /** Gives what has come since the last time, once. */
    takeUnnoted(): readonly RunReport[] {
        const runs = this.unnoted.list();
        this.unnoted.clear();
        return runs;
    }

    /** Takes back what could not be noted. */
    returnUnnoted(runs: readonly RunReport[]): void {
        this.unnoted.mergeAll(runs);
    }

    /** Whether each entry that lives has reported past a moment of true time. */
    isWhole(until: number): boolean {
        const oldest = this.clock.monotonic() - LIVE_MS;
        const live = [...this.runs.values()].filter(({ heardAt }) => heardAt >= oldest);
        return live.length > 0 && live.every(({ countedAt }) => countedAt >= until);
    }

    /** Forgets what is too old to be closed. */
    forgetBefore(now: number, windowMs: number): void {
        const oldest = Math.floor((now - KEPT_MS) / windowMs);
        this.counts.forgetBefore(oldest);
        this.unnoted.forgetBefore(oldest);
        for (const [name, run] of this.runs) {
            if (this.clock.monotonic() - run.heardAt > KEPT_MS) this.runs.delete(name);
        }
    }
}
