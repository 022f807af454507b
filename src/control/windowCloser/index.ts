import { ControlLog } from "../../consensus/index.js";
import { Clock } from "../../ports/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { ControlState } from "../state/index.js";

const LONGEST_PAUSE_MS = 1_000;

/** What the closer is made of. */
export interface WindowCloserOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly clock: Clock;
    /** A usage window's length, in milliseconds. */
    readonly windowMs: number;
    /** How long after its end a window still takes usage, in milliseconds; what comes later is an adjustment. */
    readonly graceMs: number;
}

/** Closes usage windows that have ended, by an entry in the log that freezes their figures. */
export class WindowCloser extends HolderTask {
    readonly name = "window-closer";

    constructor(private readonly options: WindowCloserOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { log, state, clock, windowMs, graceMs } = this.options;
        const lastEnded = clock.now() - windowMs - graceMs;
        const ended = state.usage.listOpenStarts().filter(window => window <= lastEnded);
        for (const window of ended) {
            // A lost proposal is made again at the next step; closing twice changes nothing.
            if (term.mayAct()) await log.propose({ kind: "usage.close", window, windowMs });
        }
        return Math.min(LONGEST_PAUSE_MS, windowMs / 10);
    }
}
