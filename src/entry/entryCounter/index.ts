import { ControlClient } from "../../control/index.js";
import { Clock } from "../../ports/index.js";
import { RecentMaximum } from "../recentMaximum/index.js";

/**
 * Time for which entries that are gone still count, in milliseconds: they may run on without being known, and what they have sent counts
 * against limits of the fleet.
 */
const ENTRY_MEMORY_MS = 30_000;

/**
 * Counts the entries that share a limit of the fleet.
 *
 * @example
 * const share = limit / counter.count();
 */
export class EntryCounter {
    private readonly recent: RecentMaximum;

    constructor(clock: Clock, private readonly client: Pick<ControlClient, "entries" | "mayBeForgotten">) {
        this.recent = new RecentMaximum(clock, ENTRY_MEMORY_MS);
        this.notifyChange();
    }

    /** Called when the list of entries has changed. */
    notifyChange(): void {
        this.recent.record(this.client.entries.filter(({ ownsQueues }) => !ownsQueues).length);
    }

    /**
     * Returns by how many entries a limit is to be divided, including this one: the most that were known lately, and infinitely many while
     * the others may have forgotten this one.
     */
    count(): number {
        return this.client.mayBeForgotten() ? Number.POSITIVE_INFINITY : Math.max(1, this.recent.value);
    }
}
