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
}

/** An observer that does nothing. */
export class NoDispatchObserver extends DispatchObserver {}
