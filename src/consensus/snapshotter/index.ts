import { LogIndex } from "../../ids/index.js";
import { StoreError } from "../../store/index.js";
import { encodeValue } from "../../wire/index.js";
import { SnapshotReply, SnapshotRequest } from "../message/index.js";
import { Replica } from "../replica/index.js";

/** Snapshot from the leader of which some chunks have been received. */
interface IncomingSnapshot {
    readonly index: LogIndex;
    readonly from: string;
    readonly bytes: Uint8Array;
    received: number;
}

/**
 * Takes snapshots to keep the log short, and receives snapshots from the leader.
 *
 * @example
 * snapshotter.takeIfDue(); // after entries were applied
 */
export class Snapshotter {
    private incoming: IncomingSnapshot | undefined;
    private isSaving = false;

    constructor(private readonly replica: Replica) {}

    /** Starts a snapshot when enough entries have been applied since the last one. */
    takeIfDue(): void {
        const { store, appliedIndex, timing } = this.replica;
        const entriesSince = appliedIndex - (store.snapshot?.index ?? 0);
        if (entriesSince >= timing.snapshotEntries && !this.isSaving) void this.takeSnapshot();
    }

    /**
     * Stores one chunk of the leader's snapshot. The reply to the last chunk is sent once the snapshot is synced and
     * restored.
     */
    async handleChunk(req: SnapshotRequest): Promise<SnapshotReply> {
        const { replica } = this;
        replica.checkAddressee(req);
        if (!replica.followLeader(req)) return { term: replica.term, ok: false };
        if (req.index <= replica.commitIndex) return { term: replica.term, ok: true };
        const incoming = this.matchTransfer(req);
        if (!incoming) return { term: replica.term, ok: false };
        incoming.bytes.set(req.bytes, req.offset);
        incoming.received = req.offset + req.bytes.length;
        if (incoming.received < req.size) return { term: replica.term, ok: true };
        this.incoming = undefined;
        const isInstalled = await this.install(req, incoming.bytes);
        return { term: replica.term, ok: isInstalled };
    }

    /**
     * Saves a snapshot and compacts the log. The state is encoded in the same synchronous step that reads it, so that
     * it can't contain later entries.
     */
    private async takeSnapshot(): Promise<void> {
        const { replica } = this;
        const index = replica.appliedIndex;
        const term = replica.log.termAt(index);
        if (term === undefined) return;
        const configuration = replica.configurationAt(index);
        const state = encodeValue(replica.stateMachine.snapshot());
        await this.runSave(() => replica.store.saveSnapshot({ index, term, configuration, state }));
        if (replica.store.snapshot?.index !== index) return;
        replica.log.compactThrough(index - replica.timing.trailingEntries as LogIndex);
    }

    private matchTransfer(req: SnapshotRequest): IncomingSnapshot | undefined {
        if (req.offset === 0) {
            const bytes = new Uint8Array(req.size);
            this.incoming = { index: req.index, from: req.from, bytes, received: 0 };
        }
        const { incoming } = this;
        if (incoming?.index !== req.index || incoming.from !== req.from) return undefined;
        return incoming.received === req.offset ? incoming : undefined;
    }

    private async install(req: SnapshotRequest, state: Uint8Array): Promise<boolean> {
        const { replica } = this;
        const { index, indexTerm: term, configuration } = req;
        if (this.isSaving) return false;
        await replica.persistVote();
        await this.runSave(() => replica.store.saveSnapshot({ index, term, configuration, state }));
        if (replica.store.snapshot?.index !== index) return false;
        replica.restoreSnapshot(index, term, configuration, state);
        return true;
    }

    private async runSave(write: () => Promise<void>): Promise<void> {
        this.isSaving = true;
        try {
            await write();
        }
        catch (err) {
            this.replica.handleStoreError(err as StoreError);
        }
        finally {
            this.isSaving = false;
        }
    }
}
