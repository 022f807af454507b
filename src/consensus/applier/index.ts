import { LogIndex } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { StoredEntry } from "../../store/index.js";
import { decodeValue } from "../../wire/index.js";
import { decodePayload, EntryPayload } from "../entryPayload/index.js";
import { StateMachine } from "../stateMachine/index.js";

/**
 * Applies committed entries to the state machine, each once and in order.
 *
 * @example
 * const result = applier.apply(entry);
 */
export class Applier {
    private applied: LogIndex;

    /**
     * @param stateMachine - Changed by this applier alone.
     * @param snapshotIndex - Where the state that was restored stands.
     */
    constructor(
        private readonly stateMachine: StateMachine,
        private readonly logger: Logger,
        snapshotIndex: LogIndex,
    ) {
        this.applied = snapshotIndex;
    }

    /** The index of the last entry applied. */
    get appliedIndex(): LogIndex {
        return this.applied;
    }

    /**
     * Applies the next entry.
     *
     * @throws EntryVersionError when a newer version is needed; nothing is applied then, and nothing may be afterwards.
     */
    apply(entry: StoredEntry): unknown {
        const payload = decodePayload(entry.payload);
        const result = this.applyPayload(entry, payload);
        this.applied = entry.index;
        return result;
    }

    /** Replaces the state by a snapshot's. */
    restore(index: LogIndex, state: Uint8Array): void {
        this.stateMachine.restore(decodeValue(state));
        this.applied = index;
    }

    private applyPayload(entry: StoredEntry, payload: EntryPayload): unknown {
        if (payload.kind !== "command") return undefined;
        try {
            return this.stateMachine.apply(payload.command, { index: entry.index, proposedAt: payload.at });
        }
        catch (err) {
            // The same on each replica, so that the states stay alike; stopping would stop them all, at each restart again.
            this.logger.error("apply-failed", { index: entry.index, error: String(err) });
            return undefined;
        }
    }
}
