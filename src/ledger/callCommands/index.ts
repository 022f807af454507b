import { IdempotencyKey, RequestId, WorkspaceId } from "../../ids/index.js";
import { UsageSum } from "../../usage/index.js";

/** Opens the record of a non-repeatable call; committed before the call may be sent. */
export interface BeginCallCommand {
    readonly kind: "call.begin";
    readonly workspace: WorkspaceId;
    readonly key: IdempotencyKey;
    /** SHA-256 of method, path and body. */
    readonly digest: string;
    /** The request that will send the call. */
    readonly request: RequestId;
    readonly host: string;
    readonly incarnation: string;
}

/** The recorded response to a non-repeatable call. */
export interface CallAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/**
 * Result of opening a record.
 * `opened`: this request, and no other, may send the call.
 * `running`: another request has the record open.
 * `answered`: the call has run, and its answer is recorded.
 * `unknown`: the call may have run, and its answer is lost.
 * `mismatch`: the idempotency key was used before with another method, path or body.
 */
export type BeginCallResult =
    | { readonly state: "opened"; }
    | { readonly state: "running"; readonly request: RequestId; readonly host: string; readonly incarnation: string; }
    | { readonly state: "answered"; readonly answer: CallAnswer; }
    | { readonly state: "unknown"; }
    | { readonly state: "mismatch"; };

/**
 * Closes a record. `answered` keeps the answer for resends; `unknown` means that the call may have run; `not-run` lets another request
 * open the record again, and is allowed only when no byte of the call can have been sent.
 */
export interface FinishCallCommand {
    readonly kind: "call.finish";
    readonly workspace: WorkspaceId;
    readonly key: IdempotencyKey;
    readonly request: RequestId;
    readonly outcome: "answered" | "unknown" | "not-run";
    readonly answer?: CallAnswer;
    /** Usage to bill for the call; counted with the first `answered` of its record and never again. */
    readonly usage?: UsageSum;
}

/** Closes the open records of a run of an entry that has ended permanently as `unknown`. */
export interface AbandonCallsCommand {
    readonly kind: "call.abandon";
    readonly host: string;
    readonly incarnation: string;
}
