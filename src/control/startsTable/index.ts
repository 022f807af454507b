import { Clock } from "../../ports/index.js";
import { EntryRunKey, RunStarts, RunStartWindows, StartWindowCounts } from "../../usage/index.js";
import { PeerRouter } from "../../wire/index.js";

/** Peer method by which entries of earlier versions report their counts of request starts; the body is a `StartsReport`. */
export const STARTS_METHOD = "control.starts";

/**
 * An entry that has not reported for this long counts as ended, in milliseconds; its counts stay valid. Longer than most network partitions:
 * windows of an ended entry wait a little longer, and those of an entry that comes back are complete.
 */
const LIVENESS_TIMEOUT_MS = 20_000;
/** Time after a window's first report by which it has been closed and can be dropped, in milliseconds. */
const RETENTION_MS = 90_000;

/** Counts of request starts per window of one run of an entry, since the run began. */
export interface StartsReport {
    readonly host: string;
    readonly incarnation: string;
    /** True time of these counts, in milliseconds since the epoch. */
    readonly countedAt: number;
    readonly windows: readonly StartWindowCounts[];
    /** The entry has stopped: this is the final report of this run. */
    readonly isLast?: boolean;
}

interface RunState {
    /** True time up to which its counts are complete, in milliseconds since the epoch. */
    countedAt: number;
    /** Monotonic time of its latest report, in milliseconds. */
    heardAt: number;
    /** The run has ended; no further reports are awaited. */
    hasEnded: boolean;
}

/**
 * Counts of request starts reported by entries, kept in memory by each control process, so that a new holder has the counts of entries
 * that were lost before its term.
 *
 * @example
 * if (table.isComplete(windowEnd)) await close(table.counts.sum(window));
 */
export class StartsTable {
    readonly counts = new RunStarts();
    /** Counts received since the last `takeUnrecorded`. */
    private readonly unrecorded = new RunStarts();
    private readonly runs = new Map<string, RunState>();
    /** Key of the run of each host that first reported most recently; the host's earlier runs have ended. */
    private readonly currentRuns = new Map<string, string>();
    /** Monotonic time at which each window was first reported, in milliseconds. */
    private readonly firstReceivedAt = new Map<number, number>();

    constructor(private readonly clock: Clock, router: PeerRouter) {
        router.add(STARTS_METHOD, body => this.record(body as StartsReport));
    }

    /** Records a report. */
    record({ host, incarnation, countedAt, windows, isLast = false }: StartsReport): void {
        const runKey = `${host} ${incarnation}`;
        const run = this.runs.get(runKey) ?? this.startRun(host, runKey, countedAt);
        run.heardAt = this.clock.monotonic();
        run.countedAt = Math.max(run.countedAt, countedAt);
        run.hasEnded ||= isLast;
        this.merge(runKey, windows);
    }

    /** Merges counts of a run, whether or not it still reports. */
    merge(runKey: EntryRunKey, windows: readonly StartWindowCounts[]): void {
        const increased = this.counts.merge(runKey, windows);
        this.unrecorded.merge(runKey, increased);
        this.trackWindows(windows);
    }

    /** Returns and clears the counts received since the last call. */
    takeUnrecorded(): readonly RunStartWindows[] {
        const runs = this.unrecorded.list();
        this.unrecorded.clear();
        return runs;
    }

    /** Adds counts back that could not be recorded in the log. */
    returnUnrecorded(runs: readonly RunStartWindows[]): void {
        this.unrecorded.mergeAll(runs);
    }

    /** Whether every live entry has reported its counts up to a point in true time. */
    isComplete(until: number): boolean {
        const oldest = this.clock.monotonic() - LIVENESS_TIMEOUT_MS;
        const live = [...this.runs.values()].filter(({ heardAt }) => heardAt >= oldest);
        return live.length > 0 && live.every(({ hasEnded, countedAt }) => hasEnded || countedAt >= until);
    }

    private startRun(host: string, runKey: string, countedAt: number): RunState {
        const previous = this.runs.get(this.currentRuns.get(host) ?? "");
        if (previous) previous.hasEnded = true;
        const run = { countedAt, heardAt: 0, hasEnded: false };
        this.runs.set(runKey, run);
        this.currentRuns.set(host, runKey);
        return run;
    }

    /**
     * Records new windows and drops expired ones. Without expiry the table would grow forever on control processes that never hold the lease
     * and so never close a window.
     */
    private trackWindows(windows: readonly StartWindowCounts[]): void {
        const now = this.clock.monotonic();
        const added = windows.filter(({ window }) => !this.firstReceivedAt.has(window));
        if (added.length === 0) return;
        for (const { window } of added) this.firstReceivedAt.set(window, now);
        this.dropExpired(now - RETENTION_MS);
    }

    private dropExpired(oldest: number): void {
        const expired = new Set(
            [...this.firstReceivedAt].filter(([, receivedAt]) => receivedAt < oldest).map(([window]) => window),
        );
        const isExpired = (window: number): boolean => expired.has(window);
        this.counts.dropWhere(isExpired);
        this.unrecorded.dropWhere(isExpired);
        for (const window of expired) this.firstReceivedAt.delete(window);
        for (const [runKey, { heardAt }] of this.runs) {
            if (heardAt < oldest) this.runs.delete(runKey);
        }
        for (const [host, runKey] of this.currentRuns) {
            if (!this.runs.has(runKey)) this.currentRuns.delete(host);
        }
    }
}
