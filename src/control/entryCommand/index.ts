import { AbandonCallsCommand, BeginCallCommand, FinishCallCommand } from "../../ledger/index.js";
import {
    RecordCrashesCommand,
    RecordPartAnswersCommand,
    RecordPartCrashesCommand,
    TryPartCommand,
} from "../../quarantine/index.js";
import { ReserveCommand, UsageBatchCommand } from "../../usage/index.js";

/** Peer method by which entries send commands to the holder; the body is an `EntryCommand`. */
export const COMMAND_METHOD = "control.command";

/** Reply to `COMMAND_METHOD`: the state machine's result, or the reason why there is none. */
export type CommandReply =
    | { readonly kind: "applied"; readonly result: unknown; }
    | { readonly kind: "not-holder"; readonly holder?: string; }
    | { readonly kind: "failed"; readonly mayCommit: boolean; readonly reason: string; };

/** The commands that entries send. */
export type EntryCommand =
    | BeginCallCommand
    | FinishCallCommand
    | AbandonCallsCommand
    | UsageBatchCommand
    | ReserveCommand
    | RecordCrashesCommand
    | RecordPartCrashesCommand
    | RecordPartAnswersCommand
    | TryPartCommand;
