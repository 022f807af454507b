import { IdempotencyKey, RequestId, WorkspaceId } from "../../ids/index.js";
import { UsageSum } from "../../usage/index.js";

/** Opens the record of a non-repeatable call before it may leave. */
export interface BeginCallCommand {
    readonly kind: "call.begin";
    readonly workspace: WorkspaceId;
    readonly key: IdempotencyKey;
    /** SHA-256 of method, path and body. */
    readonly digest: string;
    readonly request: RequestId;
    readonly host: string;
    readonly incarnation: string;
}

/** A recorded answer of a non-repeatable call. */
export interface CallAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
}

/**
 * `opened`: the call may be sent, by this request alone. `running`: another request has it open. `answered`: it has run.
 * `unknown`: it may have run, and its answer is lost. `mismatch`: the key came with another body.
 */
export type BeginCallResult =
    | { readonly state: "opened"; }
    | { readonly state: "running"; readonly request: RequestId; readonly host: string; readonly incarnation: string; }
    | { readonly state: "answered"; readonly answer: CallAnswer; }
    | { readonly state: "unknown"; }
    | { readonly state: "mismatch"; };

/**
 * Closes the record. `answered` keeps the answer for resends, `unknown` says that the call may have run, `not-run`
 * removes the record: only when no byte of the call can have left.
 */
export interface FinishCallCommand {
    readonly kind: "call.finish";
    readonly workspace: WorkspaceId;
    readonly key: IdempotencyKey;
    readonly request: RequestId;
    readonly outcome: "answered" | "unknown" | "not-run";
    readonly answer?: CallAnswer;
    /** What the call is billed as, counted with the first "answered" of its record and never again. */
    readonly usage?: UsageSum;
}

/** Records of a host that has ended for good become `unknown`. */
export interface AbandonCallsCommand {
    readonly kind: "call.abandon";
    readonly host: string;
    readonly incarnation: string;
}
