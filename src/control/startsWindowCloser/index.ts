import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { TrueTime } from "../../time/index.js";
import { RunStarts } from "../../usage/index.js";
import { ControlState } from "../controlState/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { LateStarts } from "../lateStarts/index.js";
import { StartsTable } from "../startsTable/index.js";
import { UsageCollector } from "../usageCollector/index.js";

const PAUSE_MS = 250;
/** Maximum delay of the reports of starts just before a window's end in normal operation, in milliseconds. */
const MAX_REPORT_DELAY_MS = 700;
/** Number of past windows that a holder considers when none has been closed yet. */
const INITIAL_LOOKBACK_WINDOWS = 4;

/** Time reserved before a report is due for closing its window, sending it and resending it once, in milliseconds. */
const REPORT_MARGIN_MS = 2_000;

/**
 * Computes the maximum time after its end that a window may wait for entries that have not reported.
 *
 * @param dueMs - Time after the window's end at which its report is due, in milliseconds.
 * @returns The wait, in milliseconds.
 * @example
 * computeMaxReportWaitMs(10_000); // 8_000
 */
export function computeMaxReportWaitMs(dueMs: number): number {
    return Math.max(0, dueMs - REPORT_MARGIN_MS);
}

/** Options of `StartsWindowCloser`. */
export interface StartsWindowCloserOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly table: StartsTable;
    /** Wall time by which windows end. */
    readonly time: TrueTime;
    readonly logger: Logger;
    /** Length of a window, in milliseconds. */
    readonly windowMs: number;
    /** Maximum wait after a window's end for entries that have not reported, in milliseconds. */
    readonly maxReportWaitMs: number;
    readonly collector: Pick<UsageCollector, "hasCollected">;
    readonly late: LateStarts;
}

/** Closes windows of request starts by a log entry, which fixes their counts before anything is reported. */
export class StartsWindowCloser extends HolderTask {
    readonly name = "starts-closer";

    constructor(private readonly options: StartsWindowCloserOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const now = this.options.time.now();
        for (let window = this.findFirstOpenWindow(now); this.isReadyToClose(window, now); window++) {
            if (!term.mayAct() || !this.hasCollected(term, window, now)) return PAUSE_MS;
            await this.close(term, window, now);
        }
        return PAUSE_MS;
    }

    private findFirstOpenWindow(now: number): number {
        const { state, windowMs } = this.options;
        const { lastClosed } = state.starts;
        const oldest = Math.floor(now / windowMs) - INITIAL_LOOKBACK_WINDOWS;
        if (lastClosed === undefined) return Math.max(oldest, this.findFirstCountedWindow());
        return lastClosed + 1;
    }

    private findFirstCountedWindow(): number {
        const { state, table } = this.options;
        const firsts = [table.counts.earliestWindow(), state.openStarts.earliestWindow()];
        return Math.min(...firsts.map(first => first ?? Number.POSITIVE_INFINITY));
    }

    /** Merges the counts received here and those recorded in the log by earlier holders, whose entries may have ended since. */
    private mergeCounts(window: number): RunStarts {
        const { state, table } = this.options;
        const all = new RunStarts();
        all.mergeAll(state.openStarts.list());
        all.mergeAll(table.counts.list());
        all.dropWhere(other => other !== window);
        return all;
    }

    private isReadyToClose(window: number, now: number): boolean {
        const { table, windowMs, maxReportWaitMs } = this.options;
        const end = (window + 1) * windowMs;
        if (now < end + MAX_REPORT_DELAY_MS) return false;
        return now >= end + maxReportWaitMs || table.isComplete(end + MAX_REPORT_DELAY_MS / 2);
    }

    /** Whether a majority's journals were read after the counts of a window were complete. */
    private hasCollected(term: HolderTerm, window: number, now: number): boolean {
        const sinceCompleteMs = now - (window + 1) * this.options.windowMs - MAX_REPORT_DELAY_MS / 2;
        return this.options.collector.hasCollected(term, sinceCompleteMs);
    }

    private async close(term: HolderTerm, window: number, now: number): Promise<void> {
        const { log, table, logger, windowMs, late } = this.options;
        const included = this.mergeCounts(window);
        const counts = included.sum(window);
        late.recordClose(term, window, included);
        const closed = await log.propose({ kind: "starts.close", window, counts });
        const workspaces = Object.keys(counts).length;
        const ageMs = Math.round(now - (window + 1) * windowMs);
        const whole = table.isComplete((window + 1) * windowMs);
        logger.info("starts-closed", { window, workspaces, ageMs, whole, committed: closed.isRight() });
    }
}
