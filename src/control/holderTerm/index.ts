import { ControlLog } from "../../consensus/index.js";
import { FencingToken } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** One uninterrupted period in which this process holds the control lease. */
export class HolderTerm {
    readonly token: FencingToken;
    private readonly startedAt: number;

    /**
     * @param takeoverWaitMs - Time during which messages of an earlier holder may still arrive: its lease, the clock
     * drift and the maximum delivery time, in milliseconds.
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

    /** True while the lease of this term is valid. Synchronous: call it in the same synchronous step as the action. */
    mayAct(): boolean {
        return !this.signal.aborted && this.log.holdsLease() && this.log.fencingToken() === this.token;
    }

    /**
     * True while messages may be sent to a receiver.
     *
     * A receiver that ignores fencing tokens can't refuse messages of a deposed holder. So that it never sees two active holders, a
     * new holder sends it nothing until all messages of the previous one have arrived or are lost.
     *
     * @param checksFence - The receiver refuses messages with an outdated fencing token.
     */
    maySend(checksFence: boolean): boolean {
        return this.mayAct() && (checksFence || this.clock.monotonic() - this.startedAt >= this.takeoverWaitMs);
    }
}
