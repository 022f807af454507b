import { Metrics, NoMetrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import { Logger } from "../logger/index.js";

/** Minimum time between two log lines about entries from one source, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;
/** Maximum length of a problem in a log line, in characters. */
const MAX_PROBLEM_LENGTH = 200;

/** Options of `RejectionLog`. */
export interface RejectionLogOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Receives the counter `entries_rejected`, by source; undefined: none is recorded. */
    readonly metrics?: Metrics;
}

/**
 * Records the entries of received lists that can't be used. Every entry is counted; a line is logged at most once per interval and
 * source, since a list may repeat such an entry with each of its updates.
 *
 * @example
 * rejections.record("announcements", 1, "announcement.address: no IP:port");
 */
export class RejectionLog {
    /** Rejected entries of each source since its last line, and the monotonic time of that line, in milliseconds. */
    private readonly sources = new Map<string, { unlogged: number; loggedAt: number; }>();
    private readonly metrics: Metrics;

    constructor(private readonly options: RejectionLogOptions) {
        this.metrics = options.metrics ?? new NoMetrics();
    }

    /**
     * Records rejected entries.
     *
     * @param source - Name of the kind of list; a fixed text, since each has its own counter.
     * @param count - Number of entries.
     * @param problem - What is wrong with one of them.
     */
    record(source: string, count: number, problem: string): void {
        this.metrics.count("entries_rejected", count, { source });
        const now = this.options.clock.monotonic();
        const state = this.sources.get(source) ?? { unlogged: 0, loggedAt: Number.NEGATIVE_INFINITY };
        this.sources.set(source, state);
        state.unlogged += count;
        if (now - state.loggedAt < LOG_INTERVAL_MS) return;
        this.options.logger.warn("entries-rejected", {
            source,
            entries: state.unlogged,
            problem: problem.slice(0, MAX_PROBLEM_LENGTH),
        });
        state.unlogged = 0;
        state.loggedAt = now;
    }
}
