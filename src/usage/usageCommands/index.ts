import { WindowStart, WorkspaceId } from "../../ids/index.js";
import { UsageLine } from "../../protocol/index.js";

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
