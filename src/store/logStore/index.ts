import { ClusterId, LogIndex, StoreId, Term } from "../../ids/index.js";
import { Disk, DiskLock, Random } from "../../ports/index.js";
import { readChecked, replaceChecked } from "../checkedFile/index.js";
import { Segment, SEGMENT_FOLDER, StoredEntry } from "../segment/index.js";
import { StoreError, turnDiskError } from "../storeError/index.js";

export type { StoredEntry } from "../segment/index.js";

/** Who this data folder is, and which cluster's history it holds. */
export interface StoreIdentity {
    readonly storeId: StoreId;
    /** Undefined until the folder has taken part in a cluster; never changes afterwards. */
    readonly cluster: ClusterId | undefined;
    /** The cluster's first members, as the consensus wrote them. */
    readonly founding: unknown;
}

/** The newest term seen and the vote given in it. */
export interface Vote {
    readonly term: Term;
    readonly votedFor: StoreId | undefined;
}

/** What a snapshot stands for. */
export interface SnapshotHeader {
    readonly index: LogIndex;
    readonly term: Term;
    /** The members at that index, as the consensus wrote them. */
    readonly configuration: unknown;
}

/** The whole state up to an index. */
export interface StoredSnapshot extends SnapshotHeader {
    readonly state: Uint8Array;
}

/** What a store is made of. */
export interface LogStoreOptions {
    readonly disk: Disk;
    readonly random: Random;
    /** A new segment starts once the last one has this many bytes. */
    readonly segmentBytes?: number;
}

const NO_VOTE: Vote = { term: 0 as Term, votedFor: undefined };
const IDENTITY_FILE = "identity";
const VOTE_FILE = "vote";
const SNAPSHOT_FILE = "snapshot";
const STORE_ID_BYTES = 8;
const DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024;

/**
 * The files of one replica. All that a method wrote is synced once its promise has settled. Log writes are made one at a
 * time by their caller; vote, snapshot and identity may be written meanwhile.
 *
 * @example
 * const store = await LogStore.open({ disk, random });
 */
export class LogStore {
    private readonly segments: Segment[] = [];
    private loaded: StoredEntry[] = [];
    private currentVote = NO_VOTE;
    /** Without the state, which may be large and is rarely needed again. */
    private currentSnapshot: SnapshotHeader | undefined;
    private loadedState: Uint8Array | undefined;

    private constructor(
        private readonly disk: Disk,
        private readonly lock: DiskLock,
        private readonly segmentBytes: number,
        private currentIdentity: StoreIdentity,
    ) {}

    /**
     * Locks and reads a data folder, and gives an empty one its identity.
     *
     * @throws StoreError with `locked`, or with `damaged` when synced bytes have changed.
     */
    static async open(options: LogStoreOptions): Promise<LogStore> {
        const { disk, random, segmentBytes = DEFAULT_SEGMENT_BYTES } = options;
        await disk.makeFolder(SEGMENT_FOLDER).catch(rethrow);
        const lock = await disk.lock().catch(rethrow);
        try {
            const identity = await loadIdentity(disk, random);
            const store = new LogStore(disk, lock, segmentBytes, identity);
            await store.load();
            return store;
        }
        catch (err) {
            await lock.release();
            throw turnDiskError(err);
        }
    }

    get identity(): StoreIdentity {
        return this.currentIdentity;
    }

    get vote(): Vote {
        return this.currentVote;
    }

    /** What the newest snapshot stands for; `readSnapshot` gives its state too. */
    get snapshot(): SnapshotHeader | undefined {
        return this.currentSnapshot;
    }

    get lastIndex(): LogIndex {
        return this.segments.at(-1)?.lastIndex ?? this.snapshotIndex;
    }

    /** The entries found at opening; gives them once, so that they are not held twice. */
    takeEntries(): StoredEntry[] {
        const entries = this.loaded;
        this.loaded = [];
        return entries;
    }

    /** The state found at opening; gives it once, so that it is not held for good. */
    takeSnapshotState(): Uint8Array | undefined {
        const state = this.loadedState;
        this.loadedState = undefined;
        return state;
    }

    /** Reads the newest snapshot from its file. */
    async readSnapshot(): Promise<StoredSnapshot | undefined> {
        return await readChecked(this.disk, SNAPSHOT_FILE) as StoredSnapshot | undefined;
    }

    /** Ties the folder to a cluster. */
    async saveIdentity(cluster: ClusterId, founding: unknown): Promise<void> {
        const identity: StoreIdentity = { ...this.currentIdentity, cluster, founding };
        await replaceChecked(this.disk, IDENTITY_FILE, identity);
        this.currentIdentity = identity;
    }

    /** Keeps term and vote. */
    async saveVote(vote: Vote): Promise<void> {
        await replaceChecked(this.disk, VOTE_FILE, vote);
        this.currentVote = vote;
    }

    /** Replaces the snapshot. */
    async saveSnapshot(snapshot: StoredSnapshot): Promise<void> {
        await replaceChecked(this.disk, SNAPSHOT_FILE, snapshot);
        this.currentSnapshot = headerOf(snapshot);
    }

    /**
     * Adds entries behind the last one.
     *
     * @throws StoreError with `full` when nothing of them was kept.
     */
    async append(entries: readonly StoredEntry[]): Promise<void> {
        if (entries.length === 0) return;
        await turnErrors(async () => {
            const segment = await this.writableSegment(entries[0].index);
            await segment.append(entries);
        });
    }

    /** Cuts off the entry given and all behind it. */
    async truncateFrom(index: LogIndex): Promise<void> {
        await turnErrors(async () => {
            while (this.segments.length > 0 && this.segments.at(-1)!.firstIndex >= index) {
                await this.segments.pop()!.erase();
            }
            const last = this.segments.at(-1);
            if (last && last.lastIndex >= index) await last.truncateFrom(index);
        });
    }

    /** Removes segments that hold only entries below the index given. */
    async dropBefore(index: LogIndex): Promise<void> {
        await turnErrors(async () => {
            while (this.segments.length > 1 && this.segments[0].lastIndex < index) {
                await this.segments.shift()!.erase();
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
        const vote = await readChecked(this.disk, VOTE_FILE) as Vote | undefined;
        if (!vote) throw new StoreError("damaged", "the vote file is missing");
        this.currentVote = vote;
        const snapshot = await this.readSnapshot();
        this.currentSnapshot = snapshot && headerOf(snapshot);
        this.loadedState = snapshot?.state;
        await this.loadSegments();
        if (this.isOvertaken()) {
            this.loaded = [];
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
                await segment.erase();
                continue;
            }
            await this.joinSegment(segment, entries);
        }
    }

    /** A removed segment may come back after a power cut; a gap that it leaves lies below the snapshot, and is no damage. */
    private async joinSegment(segment: Segment, entries: StoredEntry[]): Promise<void> {
        const expected = this.segments.length === 0 ? segment.firstIndex : this.segments.at(-1)!.lastIndex + 1;
        if (segment.firstIndex !== expected) {
            if (segment.firstIndex > this.snapshotIndex + 1) {
                throw new StoreError("damaged", `entries ${expected} to ${segment.firstIndex - 1} are missing`);
            }
            await this.truncateFrom(0 as LogIndex);
            this.loaded = [];
        }
        this.segments.push(segment);
        for (const entry of entries) this.loaded.push(entry);
    }

    /** True when a snapshot from the leader has taken the place of the entries, and a crash came before they were removed. */
    private isOvertaken(): boolean {
        const snapshot = this.currentSnapshot;
        if (!snapshot || this.loaded.length === 0) return false;
        if (this.lastIndex < snapshot.index) return true;
        const atSnapshot = this.loaded.at(snapshot.index - this.loaded[0].index);
        return this.loaded[0].index <= snapshot.index && atSnapshot?.term !== snapshot.term;
    }
}

function headerOf({ index, term, configuration }: StoredSnapshot): SnapshotHeader {
    return { index, term, configuration };
}

async function loadIdentity(disk: Disk, random: Random): Promise<StoreIdentity> {
    const found = await readChecked(disk, IDENTITY_FILE) as StoreIdentity | undefined;
    if (found) return found;
    if ((await disk.list(SEGMENT_FOLDER)).length > 0) throw new StoreError("damaged", "the identity file is missing");
    const storeId = Buffer.from(random.bytes(STORE_ID_BYTES)).toString("hex") as StoreId;
    const identity: StoreIdentity = { storeId, cluster: undefined, founding: undefined };
    // The vote goes first: a folder with an identity but without a vote has lost one, and might vote twice.
    await replaceChecked(disk, VOTE_FILE, NO_VOTE);
    await replaceChecked(disk, IDENTITY_FILE, identity);
    return identity;
}

async function turnErrors(work: () => Promise<void>): Promise<void> {
    await work().catch(rethrow);
}

function rethrow(err: unknown): never {
    throw turnDiskError(err);
}
