import { IdempotencyKey, RequestId, WindowStart, WorkspaceId } from "../../ids/index.js";
import { UsageLine } from "../../protocol/index.js";

/** The method by which entries hand commands to the holder; the body is a `Command`. */
export const COMMAND_METHOD = "control.command";

/** What `COMMAND_METHOD` gives: the state machine's answer, or why there is none. */
export type CommandReply =
    | { readonly kind: "applied"; readonly result: unknown; }
    | { readonly kind: "not-holder"; readonly holder?: string; }
    | { readonly kind: "failed"; readonly mayCommit: boolean; readonly reason: string; };

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

/**
 * Usage of one run of one entry. `sequence` counts 1, 2, 3 … for each (host, incarnation); one seen before is dropped,
 * and a batch is taken in whatever order it comes.
 */
export interface UsageBatchCommand {
    readonly kind: "usage.batch";
    readonly host: string;
    readonly incarnation: string;
    readonly sequence: number;
    readonly sums: readonly UsageSum[];
}

/** One batch's sum for a window. */
export interface UsageSum {
    readonly window: WindowStart;
    readonly line: UsageLine;
}

/** Takes tokens out of a workspace's limit for one host to spend in one window. */
export interface ReserveCommand {
    readonly kind: "spend.reserve";
    readonly workspace: WorkspaceId;
    readonly window: WindowStart;
    readonly host: string;
    readonly incarnation: string;
    /** A number the host has not used before, so that a resend is not counted twice. */
    readonly sequence: number;
    readonly tokens: number;
}

/** How many tokens were granted; 0 when the limit is reached. */
export interface ReserveResult {
    readonly granted: number;
}

/** The commands that entries send. */
export type EntryCommand =
    | BeginCallCommand
    | FinishCallCommand
    | AbandonCallsCommand
    | UsageBatchCommand
    | ReserveCommand;
