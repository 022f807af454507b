import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { EntryRunKey, RunStartWindows, StartWindowCounts, UsageBatchCommand } from "../../usage/index.js";
import { ControlState } from "../controlState/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { LateStarts } from "../lateStarts/index.js";
import { StartsTable } from "../startsTable/index.js";

/** Interval at which usage is written to the log, in milliseconds. */
const RECORD_INTERVAL_MS = 250;

/** Options of `UsageRecorder`. */
export interface UsageRecorderOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly table: StartsTable;
    /** Returns the batches that are not in the log. */
    readonly listBatches: () => readonly UsageBatchCommand[];
    readonly late: LateStarts;
    readonly logger: Logger;
}

/**
 * Writes usage to the log: new counts of open windows of request starts, per run of an entry, and usage batches. Until then it is in voters' journals,
 * which are read by one holder after the other.
 */
export class UsageRecorder extends HolderTask {
    readonly name = "usage-recorder";

    constructor(private readonly options: UsageRecorderOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        if (term.mayAct()) await Promise.all([this.recordStarts(term), this.recordBatches()]);
        return RECORD_INTERVAL_MS;
    }

    private async recordStarts(term: HolderTerm): Promise<void> {
        const { table, log, logger } = this.options;
        const runs = this.takeOpenWindows(term);
        if (runs.length === 0) return;
        const recorded = await log.propose({ kind: "starts.note", runs });
        recorded.ifLeft(err => {
            logger.warn("starts-not-noted", { runs: runs.length, problem: err.message });
            table.returnUnrecorded(runs);
        });
    }

    private async recordBatches(): Promise<void> {
        const { log, listBatches, logger } = this.options;
        const results = await Promise.all(listBatches().map(batch => log.propose(batch)));
        const failedCount = results.filter(result => result.isLeft()).length;
        if (failedCount > 0) logger.warn("batches-not-recorded", { batches: failedCount });
    }

    /** Takes the unrecorded counts of windows that are not closed, and moves late ones to the first of these. */
    private takeOpenWindows(term: HolderTerm): readonly RunStartWindows[] {
        const { table } = this.options;
        for (const { run, windows } of table.takeUnrecorded()) {
            const closed = windows.filter(({ window }) => this.isClosed(window));
            table.returnUnrecorded([{ run, windows: windows.filter(({ window }) => !this.isClosed(window)) }]);
            this.carryOver(term, run, closed);
        }
        return table.takeUnrecorded();
    }

    private carryOver(term: HolderTerm, run: EntryRunKey, closed: readonly StartWindowCounts[]): void {
        const { late, state, table, logger } = this.options;
        if (closed.length === 0) return;
        const carried = late.carryOver(term, run, closed, state.starts.lastClosed! + 1);
        if (!carried) return;
        const windows = closed.map(({ window }) => window).join(" ");
        logger.warn("starts-late", { run, windows, countedIn: carried.window });
        table.merge(`${run} late`, [carried]);
    }

    private isClosed(window: number): boolean {
        return this.options.state.starts.isClosed(window);
    }
}
