import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { RunStartWindows } from "../../usage/index.js";
import { ControlState } from "../controlState/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { StartsTable } from "../startsTable/index.js";

/** Interval at which counts are written to the log, in milliseconds: later counts are lost if all processes are lost. */
const RECORD_INTERVAL_MS = 50;

/** Options of `StartsRecorder`. */
export interface StartsRecorderOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly table: StartsTable;
    readonly logger: Logger;
}

/**
 * Writes new counts of open windows to the log, per run of an entry.
 *
 * Prevents incomplete windows: otherwise the counts would be only in memory until the window is closed, and all processes may be killed or
 * lose power before that.
 */
export class StartsRecorder extends HolderTask {
    readonly name = "starts-noter";

    constructor(private readonly options: StartsRecorderOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { table, log, logger } = this.options;
        const runs = this.takeOpenWindows();
        if (runs.length === 0 || !term.mayAct()) {
            table.returnUnrecorded(runs);
            return RECORD_INTERVAL_MS;
        }
        const recorded = await log.propose({ kind: "starts.note", runs });
        recorded.ifLeft(err => {
            logger.warn("starts-not-noted", { runs: runs.length, problem: err.message });
            table.returnUnrecorded(runs);
        });
        return RECORD_INTERVAL_MS;
    }

    /** Takes the unrecorded counts of windows that are not closed. */
    private takeOpenWindows(): RunStartWindows[] {
        const { table, state } = this.options;
        return table.takeUnrecorded().flatMap(({ run, windows }) => {
            const open = windows.filter(({ window }) => !state.starts.isClosed(window));
            return open.length > 0 ? [{ run, windows: open }] : [];
        });
    }
}
