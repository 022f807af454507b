import { UpstreamId } from "../../ids/index.js";
import { Grant, Refusal } from "../ticket/index.js";
import { WaitingTicket } from "../waiting/index.js";

/** Told of each decision, for metrics, `sequoiamux explain` and the bench. All methods do nothing by default. */
export abstract class DispatchObserver {
    queued(_waiting: WaitingTicket): void {}

    granted(_waiting: WaitingTicket, _grant: Grant): void {}

    refused(_waiting: WaitingTicket, _refusal: Refusal): void {}

    /** A running request was asked to give its place to a waiting one. */
    preempted(_victim: WaitingTicket, _beneficiary: WaitingTicket): void {}

    ejected(_upstream: UpstreamId): void {}
}

/** Listens to nothing. */
export class NoDispatchObserver extends DispatchObserver {}
