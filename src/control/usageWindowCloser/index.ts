import { ControlLog } from "../../consensus/index.js";
import { Clock } from "../../ports/index.js";
import { ControlState } from "../controlState/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { UsageCollector } from "../usageCollector/index.js";

const MAX_PAUSE_MS = 1_000;
const MIN_PAUSE_MS = 100;

/** Options of `UsageWindowCloser`. */
export interface UsageWindowCloserOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly clock: Clock;
    /** Length of a usage window, in milliseconds. */
    readonly windowMs: number;
    /** How long after its end a window still accepts usage, in milliseconds; later usage becomes an adjustment. */
    readonly graceMs: number;
    readonly collector: Pick<UsageCollector, "hasCollected">;
}

/** Closes usage windows that have ended by a log entry, which fixes their sums. */
export class UsageWindowCloser extends HolderTask {
    readonly name = "window-closer";

    constructor(private readonly options: UsageWindowCloserOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { log, state, clock, windowMs, graceMs, collector } = this.options;
        if (!collector.hasCollected(term)) return MIN_PAUSE_MS;
        const lastEnded = clock.now() - windowMs - graceMs;
        const ended = state.usage.listOpenStarts().filter(window => window <= lastEnded);
        for (const window of ended) {
            // A lost proposal is repeated in the next step; closing a window twice changes nothing.
            if (term.mayAct()) await log.propose({ kind: "usage.close", window, windowMs });
        }
        return Math.min(MAX_PAUSE_MS, windowMs / 10);
    }
}
