import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { RunReport } from "../../usage/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { StartsTable } from "../startsTable/index.js";
import { ControlState } from "../state/index.js";

/** How often counts go into the log, in milliseconds: those of the time since are lost if all processes are. */
const NOTE_EVERY_MS = 50;

/** What the noter is made of. */
export interface StartsNoterOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly table: StartsTable;
    readonly logger: Logger;
}

/**
 * Puts the counts of open windows into the log, by run of an entry and only what is new.
 *
 * Guards against a window that is billed in part: its counts are in memory alone until it is closed, and all processes may be killed or lose
 * power before.
 */
export class StartsNoter extends HolderTask {
    readonly name = "starts-noter";

    constructor(private readonly options: StartsNoterOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { table, log, logger } = this.options;
        const runs = this.takeOpen();
        if (runs.length === 0 || !term.mayAct()) {
            table.returnUnnoted(runs);
            return NOTE_EVERY_MS;
        }
        const noted = await log.propose({ kind: "starts.note", runs });
        noted.ifLeft(err => {
            logger.warn("starts-not-noted", { runs: runs.length, problem: err.message });
            table.returnUnnoted(runs);
        });
        return NOTE_EVERY_MS;
    }

    /** What has come since the last time of windows that are not closed. */
    private takeOpen(): RunReport[] {
        const { table, state } = this.options;
        return table.takeUnnoted().flatMap(({ run, windows }) => {
            const open = windows.filter(({ window }) => !state.starts.isClosed(window));
            return open.length > 0 ? [{ run, windows: open }] : [];
        });
    }
}
