import { ControlLog } from "../../consensus/index.js";
import { FencingToken } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** One unbroken time of holding the lease. */
export class HolderTerm {
    readonly token: FencingToken;
    private readonly startedAt: number;

    /**
     * @param takeoverWaitMs - How long what an earlier holder sent may still arrive: its lease, the drift of clocks and
     * the longest flight, in milliseconds.
     * @param signal - Aborted when the lease has ended.
     */
    constructor(
        private readonly log: ControlLog,
        private readonly clock: Clock,
        private readonly takeoverWaitMs: number,
        readonly signal: AbortSignal,
    ) {
        this.token = log.fencingToken();
        this.startedAt = clock.monotonic();
    }

    /** True while this term's lease holds. Synchronous: ask it in the step that acts. */
    mayAct(): boolean {
        return !this.signal.aborted && this.log.holdsLease() && this.log.fencingToken() === this.token;
    }

    /**
     * True while something may be sent to a receiver.
     *
     * Guards a receiver that ignores fencing tokens against two processes that both believe they are in charge: it can't refuse the
     * older one itself, so a new holder sends it nothing until what the older one sent has arrived or is lost.
     *
     * @param checksFence - The receiver refuses what comes with an old fencing token.
     */
    maySend(checksFence: boolean): boolean {
        return this.mayAct() && (checksFence || this.clock.monotonic() - this.startedAt >= this.takeoverWaitMs);
    }
}
