import { UpstreamId } from "../../ids/index.js";
import { Grant, Refusal } from "../ticket/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** Receives each decision, for metrics, `sequoiamux explain` and the benchmarks. All methods do nothing by default. */
export abstract class DispatchObserver {
    queued(_waiting: WaitingTicket): void {}

    granted(_waiting: WaitingTicket, _grant: Grant): void {}

    refused(_waiting: WaitingTicket, _refusal: Refusal): void {}

    /** Called when a running request is asked to give up its slot to a waiting one. */
    preempted(_victim: WaitingTicket, _beneficiary: WaitingTicket): void {}

    ejected(_upstream: UpstreamId): void {}

    /**
     * Called when a grant is ended since its request must have ended, though its entry has not said so.
     *
     * @param _heldMs - Time since it was granted, in milliseconds.
     */
    grantExpired(_running: WaitingTicket, _upstream: UpstreamId, _heldMs: number): void {}

    /**
     * Called when an upstream gets no requests for a time because it failed one.
     *
     * @param _failed - The request that failed.
     * @param _backOffMs - The time, in milliseconds.
     */
    backedOff(_failed: WaitingTicket, _upstream: UpstreamId, _backOffMs: number): void {}
}

/** An observer that does nothing. */
export class NoDispatchObserver extends DispatchObserver {}
