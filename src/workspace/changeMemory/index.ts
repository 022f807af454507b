import type { ChangeId } from "../../ids/index.js";
import type { ChangeResult } from "../change/index.js";

const RETENTION_MS = 24 * 3_600_000;
const MOST_REMEMBERED = 20_000;

/** A change that was answered. */
export interface RememberedChange {
    readonly changeId: ChangeId;
    /** What it was about, so that an id used for two things is noticed. */
    readonly subject: string;
    readonly result: ChangeResult;
    readonly at: number;
}

/**
 * The answers given to changes of the last day.
 *
 * Guards against a change applied twice: an operator whose answer was lost sends the same change again, and it would
 * meet its own first run as a conflict. With the first answer kept, the resend gets just that.
 */
export class ChangeMemory {
    private readonly remembered = new Map<ChangeId, RememberedChange>();

    find(changeId: ChangeId): RememberedChange | undefined {
        return this.remembered.get(changeId);
    }

    /** Keeps an answer, and lets go of those that are too old or too many. */
    remember(change: RememberedChange): void {
        this.remembered.set(change.changeId, change);
        for (const oldest of this.remembered.values()) {
            const expired = change.at - oldest.at > RETENTION_MS;
            if (!expired && this.remembered.size <= MOST_REMEMBERED) return;
            this.remembered.delete(oldest.changeId);
        }
    }

    snapshot(): readonly RememberedChange[] {
        return [...this.remembered.values()];
    }

    restore(changes: readonly RememberedChange[]): void {
        this.remembered.clear();
        for (const change of changes) this.remembered.set(change.changeId, change);
    }
}
