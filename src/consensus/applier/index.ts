import { LogIndex } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { StoredEntry } from "../../store/index.js";
import { decodeValue } from "../../wire/index.js";
import { decodePayload, EntryPayload } from "../entryPayload/index.js";
import { StateMachine } from "../stateMachine/index.js";

/**
 * Applies committed entries to the state machine, each exactly once and in order.
 *
 * @example
 * const result = applier.apply(entry);
 */
export class Applier {
    private lastAppliedIndex: LogIndex;

    /**
     * @param stateMachine - Modified only by this applier.
     * @param snapshotIndex - Index of the restored state.
     */
    constructor(
        private readonly stateMachine: StateMachine,
        private readonly logger: Logger,
        snapshotIndex: LogIndex,
    ) {
        this.lastAppliedIndex = snapshotIndex;
    }

    /** Index of the last applied entry. */
    get appliedIndex(): LogIndex {
        return this.lastAppliedIndex;
    }

    /**
     * Applies the next entry.
     *
     * @throws EntryVersionError when the entry requires a newer version. The entry is not applied then, and no later
     * one may be.
     */
    apply(entry: StoredEntry): unknown {
        const payload = decodePayload(entry.payload);
        const result = this.applyPayload(entry, payload);
        this.lastAppliedIndex = entry.index;
        return result;
    }

    /** Replaces the state with that of a snapshot. */
    restore(index: LogIndex, state: Uint8Array): void {
        this.stateMachine.restore(decodeValue(state));
        this.lastAppliedIndex = index;
    }

    private applyPayload(entry: StoredEntry, payload: EntryPayload): unknown {
        if (payload.kind !== "command") return undefined;
        try {
            return this.stateMachine.apply(payload.command, { index: entry.index, proposedAt: payload.at });
        }
        catch (err) {
            // The error occurs on every replica alike, so skipping the entry keeps their states identical. Stopping
            // would stop all of them, again after each restart.
            this.logger.error("apply-failed", { index: entry.index, error: String(err) });
            return undefined;
        }
    }
}
