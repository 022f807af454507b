import type { ChangeId } from "../../ids/index.js";
import type { ChangeResult } from "../change/index.js";

const RETENTION_MS = 24 * 3_600_000;
const MAX_RESULT_COUNT = 20_000;

/** The result of an applied change, kept for resends. */
export interface StoredChangeResult {
    readonly changeId: ChangeId;
    /** Kind and target of the change, to detect a change id that is reused for another change. */
    readonly subject: string;
    readonly result: ChangeResult;
    /** Wall time at which the change was proposed, in milliseconds since the epoch. */
    readonly at: number;
}

/**
 * Results of the changes of the last day.
 *
 * Prevents a change from being applied twice: an operator whose answer was lost resends the change, which would conflict with its own
 * first application. With the first result stored, the resend gets that result.
 */
export class ChangeMemory {
    private readonly results = new Map<ChangeId, StoredChangeResult>();

    find(changeId: ChangeId): StoredChangeResult | undefined {
        return this.results.get(changeId);
    }

    /** Stores a result, and removes the oldest ones beyond the retention or the maximum count. */
    add(change: StoredChangeResult): void {
        this.results.set(change.changeId, change);
        for (const oldest of this.results.values()) {
            const isExpired = change.at - oldest.at > RETENTION_MS;
            if (!isExpired && this.results.size <= MAX_RESULT_COUNT) return;
            this.results.delete(oldest.changeId);
        }
    }

    snapshot(): readonly StoredChangeResult[] {
        return [...this.results.values()];
    }

    restore(changes: readonly StoredChangeResult[]): void {
        this.results.clear();
        for (const change of changes) this.results.set(change.changeId, change);
    }
}
