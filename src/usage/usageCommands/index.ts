import { WindowStart, WorkspaceId } from "../../ids/index.js";
import { UsageLine } from "../../protocol/index.js";

/** Identifies a usage batch: the run of an entry that made it, and its number in that run. */
export interface UsageBatchId {
    readonly host: string;
    readonly incarnation: string;
    readonly sequence: number;
}

/**
 * Adds a batch of usage that one run of an entry has counted. `sequence` counts 1, 2, 3 … for each (host, incarnation): a batch with a
 * known number is dropped as a duplicate, and batches are accepted in any order.
 */
export interface UsageBatchCommand extends UsageBatchId {
    readonly kind: "usage.batch";
    readonly sums: readonly UsageSum[];
}

/** Usage of one window in a batch, for one workspace, pool and class. */
export interface UsageSum {
    readonly window: WindowStart;
    readonly line: UsageLine;
}

/** Reserves tokens of a workspace's limit for one host to spend in one window. */
export interface ReserveCommand {
    readonly kind: "spend.reserve";
    readonly workspace: WorkspaceId;
    readonly window: WindowStart;
    readonly host: string;
    readonly incarnation: string;
    /** A number that this run of the host has not used before, so that a resend is not counted twice. */
    readonly sequence: number;
    readonly tokens: number;
}

/** The result of a reservation. */
export interface ReserveResult {
    /** Tokens granted: fewer than requested when the limit leaves less, 0 when it is reached. */
    readonly granted: number;
}
