import { StreamStartGroup } from "../../resumption/index.js";
import { StartWindowCounts } from "../startMeter/index.js";
import { UsageBatchCommand } from "../usageCommands/index.js";

/** What a run of an entry has counted in a range of its positions. */
export interface UsageChanges {
    /** Totals of request starts, which only grow, in the windows and for the workspaces that changed in the range. */
    readonly windows: readonly StartWindowCounts[];
    /** Batches closed in the range; they never change. */
    readonly batches: readonly UsageBatchCommand[];
    /** Where streams began, in the range; undefined for none. */
    readonly streams?: readonly StreamStartGroup[];
}

/**
 * A run's usage from `after`, exclusive, to `upTo`. Reports of a run merge in any order and any number of times: totals only grow, and batches never
 * change.
 */
export interface UsageReport extends UsageChanges {
    readonly host: string;
    readonly incarnation: string;
    readonly after: number;
    readonly upTo: number;
    /** All usage up to this position is in the control log. */
    readonly recorded: number;
    /** True time up to which the run's starts are complete at `upTo`, in milliseconds since the epoch; undefined: the run counts no starts. */
    readonly countedAt?: number;
    /** The run has ended and counts no more. */
    readonly isLast?: boolean;
}

/** Whether a report contains anything to store. */
export function hasUsage({ windows, batches, streams = [] }: UsageChanges): boolean {
    return windows.length > 0 || batches.length > 0 || streams.length > 0;
}
