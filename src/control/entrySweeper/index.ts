import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { EntryTable } from "../entryTable/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { ControlState } from "../state/index.js";

const PAUSE_MS = 1_000;

/** What the sweeper is made of. */
export interface EntrySweeperOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly entries: EntryTable;
    readonly logger: Logger;
}

/**
 * Closes the call records of entries that have gone, as "unknown".
 *
 * Guards against a caller that is told "running" for good: its entry was lost between the record and the answer, and
 * nobody else may send the call again. The entry's lease is waited out first, so that a live one is not swept.
 */
export class EntrySweeper extends HolderTask {
    readonly name = "entry-sweeper";

    constructor(private readonly options: EntrySweeperOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { log, state, entries, logger } = this.options;
        for (const { host, incarnation } of state.ledger.listOpenRuns()) {
            if (!entries.hasLapsed(host, incarnation) || !term.mayAct()) continue;
            logger.warn("entry-swept", { entry: host, incarnation });
            await log.propose({ kind: "call.abandon", host, incarnation });
        }
        return PAUSE_MS;
    }
}
