import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { ControlState } from "../controlState/index.js";
import { EntryTable } from "../entryTable/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";

const PAUSE_MS = 1_000;

/** Options of `AbandonedCallReaper`. */
export interface AbandonedCallReaperOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly entries: EntryTable;
    readonly logger: Logger;
}

/**
 * Closes the open call records of entry processes that have ended, with the outcome "unknown".
 *
 * Without it, callers would receive "running" forever when an entry is lost between record and answer, since nobody else may resend
 * the call. Waits until the entry's lease has expired, so that calls of a live entry are not closed.
 */
export class AbandonedCallReaper extends HolderTask {
    readonly name = "entry-sweeper";

    constructor(private readonly options: AbandonedCallReaperOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { log, state, entries, logger } = this.options;
        for (const { host, incarnation } of state.ledger.listOpenRuns()) {
            if (!entries.hasExpired(host, incarnation) || !term.mayAct()) continue;
            logger.warn("entry-swept", { entry: host, incarnation });
            await log.propose({ kind: "call.abandon", host, incarnation });
        }
        return PAUSE_MS;
    }
}
