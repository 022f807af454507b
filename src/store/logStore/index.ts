import { ClusterId, LogIndex, StoreId, Term } from "../../ids/index.js";
import { Disk, DiskLock, Random } from "../../ports/index.js";
import { readChecksummed, writeChecksummed } from "../checksummedFile/index.js";
import { Segment, SEGMENT_FOLDER, StoredEntry } from "../segment/index.js";
import { StoreError, toStoreError } from "../storeError/index.js";

export type { StoredEntry } from "../segment/index.js";

/** Identity of a data folder, and the cluster whose history it contains. */
export interface StoreIdentity {
    readonly storeId: StoreId;
    /** Undefined until the folder has joined a cluster; never changes afterwards. */
    readonly cluster: ClusterId | undefined;
    /** Initial configuration of the cluster, as written by the consensus code. */
    readonly founding: unknown;
}

/** Newest known term and the vote given in it. */
export interface Vote {
    readonly term: Term;
    readonly votedFor: StoreId | undefined;
}

/** Position and configuration of a snapshot, without its state. */
export interface SnapshotHeader {
    readonly index: LogIndex;
    readonly term: Term;
    /** Configuration at that index, as written by the consensus code. */
    readonly configuration: unknown;
}

/** Snapshot with the whole state up to its index. */
export interface StoredSnapshot extends SnapshotHeader {
    readonly state: Uint8Array;
}

/** Options of a log store. */
export interface LogStoreOptions {
    readonly disk: Disk;
    readonly random: Random;
    /** Size at which a new segment is started. */
    readonly segmentBytes?: number;
}

const NO_VOTE: Vote = { term: 0 as Term, votedFor: undefined };
const IDENTITY_FILE = "identity";
const VOTE_FILE = "vote";
const SNAPSHOT_FILE = "snapshot";
const STORE_ID_BYTES = 8;
const DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024;

/**
 * Files of one replica. Everything that a method writes is synced once its promise has resolved. The caller must not
 * run log writes concurrently; the vote, snapshot and identity may be written in parallel to them.
 *
 * @example
 * const store = await LogStore.open({ disk, random });
 */
export class LogStore {
    private readonly segments: Segment[] = [];
    private loadedEntries: StoredEntry[] = [];
    private currentVote = NO_VOTE;
    /** Excludes the state, which may be large and is rarely needed again. */
    private currentSnapshot: SnapshotHeader | undefined;
    private loadedState: Uint8Array | undefined;

    private constructor(
        private readonly disk: Disk,
        private readonly lock: DiskLock,
        private readonly segmentBytes: number,
        private currentIdentity: StoreIdentity,
    ) {}

    /**
     * Locks and reads a data folder. Creates the identity of an empty one.
     *
     * @throws StoreError with `locked`, or with `damaged` when synced bytes have changed.
     */
    static async open(options: LogStoreOptions): Promise<LogStore> {
        const { disk, random, segmentBytes = DEFAULT_SEGMENT_BYTES } = options;
        await disk.makeFolder(SEGMENT_FOLDER).catch(throwAsStoreError);
        const lock = await disk.lock().catch(throwAsStoreError);
        try {
            const identity = await loadOrCreateIdentity(disk, random);
            const store = new LogStore(disk, lock, segmentBytes, identity);
            await store.load();
            return store;
        }
        catch (err) {
            await lock.release();
            throw toStoreError(err);
        }
    }

    get identity(): StoreIdentity {
        return this.currentIdentity;
    }

    get vote(): Vote {
        return this.currentVote;
    }

    /** Header of the newest snapshot; `readSnapshot` also returns its state. */
    get snapshot(): SnapshotHeader | undefined {
        return this.currentSnapshot;
    }

    get lastIndex(): LogIndex {
        return this.segments.at(-1)?.lastIndex ?? this.snapshotIndex;
    }

    /**
     * Returns the entries that were loaded on opening. Returns them only once, so that they are not kept in memory
     * twice.
     */
    takeLoadedEntries(): StoredEntry[] {
        const entries = this.loadedEntries;
        this.loadedEntries = [];
        return entries;
    }

    /**
     * Returns the snapshot state that was loaded on opening. Returns it only once, so that it is not kept in memory.
     */
    takeLoadedSnapshotState(): Uint8Array | undefined {
        const state = this.loadedState;
        this.loadedState = undefined;
        return state;
    }

    /** Reads the newest snapshot from its file. */
    async readSnapshot(): Promise<StoredSnapshot | undefined> {
        return await readChecksummed(this.disk, SNAPSHOT_FILE) as StoredSnapshot | undefined;
    }

    /** Binds the folder to a cluster. */
    async saveIdentity(cluster: ClusterId, initialConfiguration: unknown): Promise<void> {
        const identity: StoreIdentity = { ...this.currentIdentity, cluster, founding: initialConfiguration };
        await writeChecksummed(this.disk, IDENTITY_FILE, identity);
        this.currentIdentity = identity;
    }

    /** Stores term and vote. */
    async saveVote(vote: Vote): Promise<void> {
        await writeChecksummed(this.disk, VOTE_FILE, vote);
        this.currentVote = vote;
    }

    /** Stores a snapshot in place of the previous one. */
    async saveSnapshot(snapshot: StoredSnapshot): Promise<void> {
        await writeChecksummed(this.disk, SNAPSHOT_FILE, snapshot);
        this.currentSnapshot = toSnapshotHeader(snapshot);
    }

    /**
     * Appends entries after the last one.
     *
     * @throws StoreError with `full` when none of them was stored.
     */
    async append(entries: readonly StoredEntry[]): Promise<void> {
        if (entries.length === 0) return;
        await convertDiskErrors(async () => {
            const segment = await this.writableSegment(entries[0].index);
            await segment.append(entries);
        });
    }

    /** Removes the entry at an index and all later entries. */
    async truncateFrom(index: LogIndex): Promise<void> {
        await convertDiskErrors(async () => {
            while (this.segments.length > 0 && this.segments.at(-1)!.firstIndex >= index) {
                await this.segments.pop()!.emptyAndRemove();
            }
            const last = this.segments.at(-1);
            if (last && last.lastIndex >= index) await last.truncateFrom(index);
        });
    }

    /** Removes segments that contain only entries before an index. */
    async removeSegmentsBefore(index: LogIndex): Promise<void> {
        await convertDiskErrors(async () => {
            while (this.segments.length > 1 && this.segments[0].lastIndex < index) {
                await this.segments.shift()!.emptyAndRemove();
            }
        });
    }

    async close(): Promise<void> {
        for (const segment of this.segments) await segment.close();
        await this.lock.release();
    }

    private get snapshotIndex(): LogIndex {
        return this.currentSnapshot?.index ?? 0 as LogIndex;
    }

    private async writableSegment(nextIndex: LogIndex): Promise<Segment> {
        const last = this.segments.at(-1);
        if (last && last.size < this.segmentBytes) return last;
        const segment = await Segment.create(this.disk, nextIndex);
        this.segments.push(segment);
        return segment;
    }

    private async load(): Promise<void> {
        const vote = await readChecksummed(this.disk, VOTE_FILE) as Vote | undefined;
        if (!vote) throw new StoreError("damaged", "the vote file is missing");
        this.currentVote = vote;
        const snapshot = await this.readSnapshot();
        this.currentSnapshot = snapshot && toSnapshotHeader(snapshot);
        this.loadedState = snapshot?.state;
        await this.loadSegments();
        if (this.isSupersededBySnapshot()) {
            this.loadedEntries = [];
            await this.truncateFrom(0 as LogIndex);
        }
        const first = this.segments[0]?.firstIndex;
        if (first !== undefined && first > this.snapshotIndex + 1) {
            throw new StoreError("damaged", `entries ${this.snapshotIndex + 1} to ${first - 1} are missing`);
        }
    }

    private async loadSegments(): Promise<void> {
        const names = await this.disk.list(SEGMENT_FOLDER);
        for (const name of names) {
            const isLast = name === names.at(-1);
            const { segment, entries } = await Segment.load(this.disk, name, isLast);
            if (entries.length === 0) {
                await segment.emptyAndRemove();
                continue;
            }
            await this.addLoadedSegment(segment, entries);
        }
    }

    /**
     * Adds a loaded segment. A removed segment may reappear after a power cut; the gap that it leaves is before the
     * snapshot's end and is not damage.
     */
    private async addLoadedSegment(segment: Segment, entries: StoredEntry[]): Promise<void> {
        const expected = this.segments.length === 0 ? segment.firstIndex : this.segments.at(-1)!.lastIndex + 1;
        if (segment.firstIndex !== expected) {
            if (segment.firstIndex > this.snapshotIndex + 1) {
                throw new StoreError("damaged", `entries ${expected} to ${segment.firstIndex - 1} are missing`);
            }
            await this.truncateFrom(0 as LogIndex);
            this.loadedEntries = [];
        }
        this.segments.push(segment);
        for (const entry of entries) this.loadedEntries.push(entry);
    }

    /** Returns whether a snapshot from the leader has replaced the entries, and a crash prevented their removal. */
    private isSupersededBySnapshot(): boolean {
        const snapshot = this.currentSnapshot;
        if (!snapshot || this.loadedEntries.length === 0) return false;
        if (this.lastIndex < snapshot.index) return true;
        const atSnapshot = this.loadedEntries.at(snapshot.index - this.loadedEntries[0].index);
        return this.loadedEntries[0].index <= snapshot.index && atSnapshot?.term !== snapshot.term;
    }
}

function toSnapshotHeader({ index, term, configuration }: StoredSnapshot): SnapshotHeader {
    return { index, term, configuration };
}

async function loadOrCreateIdentity(disk: Disk, random: Random): Promise<StoreIdentity> {
    const found = await readChecksummed(disk, IDENTITY_FILE) as StoreIdentity | undefined;
    if (found) return found;
    if ((await disk.list(SEGMENT_FOLDER)).length > 0) throw new StoreError("damaged", "the identity file is missing");
    const storeId = Buffer.from(random.bytes(STORE_ID_BYTES)).toString("hex") as StoreId;
    const identity: StoreIdentity = { storeId, cluster: undefined, founding: undefined };
    // The vote is written first: a folder with an identity but no vote has lost it and might vote twice.
    await writeChecksummed(disk, VOTE_FILE, NO_VOTE);
    await writeChecksummed(disk, IDENTITY_FILE, identity);
    return identity;
}

async function convertDiskErrors(work: () => Promise<void>): Promise<void> {
    await work().catch(throwAsStoreError);
}

function throwAsStoreError(err: unknown): never {
    throw toStoreError(err);
}
