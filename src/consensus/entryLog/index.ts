import PQueue from "p-queue";
import { LogIndex, Term } from "../../ids/index.js";
import { LogStore, StoredEntry, StoreError } from "../../store/index.js";

const MOST_FLUSH_BYTES = 8 * 1024 * 1024;

interface DurableWaiter {
    readonly index: LogIndex;
    readonly resolve: () => void;
    readonly reject: (err: StoreError) => void;
}

/** Told of what the log's writer did. */
export interface EntryLogListener {
    /** More entries are synced. */
    onDurable(): void;
    /** The disk failed. Entries that it did not take are gone from the log already when it was full. */
    onStoreError(err: StoreError): void;
}

/**
 * The log behind its snapshot: entries are in memory at once, and on disk once the writer has synced them. All entries
 * that come while a sync runs go into the next one together (group commit).
 *
 * @example
 * log.append(entries);
 * await log.whenDurable(log.lastIndex);
 */
export class EntryLog {
    private readonly writer = new PQueue({ concurrency: 1 });
    private entries: StoredEntry[];
    /** The index and term in front of the first entry. */
    private baseIndex: LogIndex;
    private baseTerm: Term;
    private durable: LogIndex;
    /** What the files hold; only the writer's jobs change it. */
    private written: LogIndex;
    /** How often entries were taken back; tells a flush that its batch may not stand any more. */
    private cuts = 0;
    private pendingCut: LogIndex | undefined;
    private failure: StoreError | undefined;
    private flushIsDue = false;
    private waiters: DurableWaiter[] = [];

    /**
     * @param store - Opened; its entries are taken over.
     * @param listener - Told of progress and failures.
     */
    constructor(private readonly store: LogStore, private readonly listener: EntryLogListener) {
        this.entries = store.takeEntries();
        const first = this.entries.at(0);
        this.baseIndex = (first ? first.index - 1 : store.snapshot?.index ?? 0) as LogIndex;
        this.baseTerm = store.snapshot?.index === this.baseIndex ? store.snapshot.term : 0 as Term;
        this.durable = this.lastIndex;
        this.written = this.lastIndex;
    }

    get lastIndex(): LogIndex {
        return this.baseIndex + this.entries.length as LogIndex;
    }

    get lastTerm(): Term {
        return this.entries.at(-1)?.term ?? this.baseTerm;
    }

    /** The first index whose entry is still here. */
    get firstIndex(): LogIndex {
        return this.baseIndex + 1 as LogIndex;
    }

    /** The last index synced here. */
    get durableIndex(): LogIndex {
        return this.durable;
    }

    /** The term at an index, or undefined when it is not known any more or not yet. */
    termAt(index: LogIndex): Term | undefined {
        if (index === this.baseIndex) return this.baseIndex === 0 ? 0 as Term : this.baseTerm || undefined;
        return this.entryAt(index)?.term;
    }

    entryAt(index: LogIndex): StoredEntry | undefined {
        return index <= this.baseIndex ? undefined : this.entries[index - this.baseIndex - 1];
    }

    /** Entries from an index on, up to a total size (at least one). */
    slice(from: LogIndex, mostBytes: number): StoredEntry[] {
        const taken: StoredEntry[] = [];
        let bytes = 0;
        for (let index = from; index <= this.lastIndex; index++) {
            const entry = this.entryAt(index)!;
            bytes += entry.payload.length;
            if (taken.length > 0 && bytes > mostBytes) break;
            taken.push(entry);
        }
        return taken;
    }

    /** Adds entries behind the last one; they are synced later. */
    append(entries: readonly StoredEntry[]): void {
        for (const entry of entries) this.entries.push(entry);
        this.scheduleFlush();
    }

    /** Cuts off the entry given and all behind it. */
    truncateFrom(index: LogIndex): void {
        this.forgetFrom(index, new StoreError("stale", `entry ${index} gave way to the leader's`));
        this.cutFilesFrom(index);
    }

    /** Settles once an index is synced. */
    whenDurable(index: LogIndex): Promise<void> {
        if (this.failure) return Promise.reject(this.failure);
        if (index <= this.durable) return Promise.resolve();
        return new Promise((resolve, reject) => this.waiters.push({ index, resolve, reject }));
    }

    /** Drops entries up to an index, which a synced snapshot covers. */
    compactTo(index: LogIndex): void {
        const term = this.termAt(index);
        if (index <= this.baseIndex || term === undefined) return;
        this.entries = this.entries.slice(index - this.baseIndex);
        this.baseIndex = index;
        this.baseTerm = term;
        void this.writer.add(() => this.guard(() => this.store.dropBefore(index)));
    }

    /** Drops all entries in favour of a snapshot that is synced already. */
    resetTo(index: LogIndex, term: Term): void {
        this.forgetFrom(this.firstIndex, new StoreError("stale", "a snapshot took the log's place"));
        this.baseIndex = index;
        this.baseTerm = term;
        this.durable = index;
        this.cutFilesFrom(0 as LogIndex);
    }

    /** Waits for the writer to finish what it has. */
    async close(): Promise<void> {
        this.failure = new StoreError("stale", "the log is closed");
        this.rejectWaiters(0 as LogIndex, this.failure);
        await this.writer.onIdle();
    }

    private forgetFrom(index: LogIndex, err: StoreError): void {
        this.cuts++;
        this.entries.length = Math.min(this.entries.length, Math.max(0, index - this.baseIndex - 1));
        this.durable = Math.min(this.durable, index - 1) as LogIndex;
        this.rejectWaiters(index, err);
    }

    private cutFilesFrom(index: LogIndex): void {
        this.pendingCut = Math.min(this.pendingCut ?? index, index) as LogIndex;
        this.scheduleFlush();
    }

    private scheduleFlush(): void {
        if (this.flushIsDue || this.failure) return;
        this.flushIsDue = true;
        void this.writer.add(() => this.guard(() => this.flush()));
    }

    private async flush(): Promise<void> {
        this.flushIsDue = false;
        await this.cutFiles();
        const cuts = this.cuts;
        const batch = this.slice(this.written + 1 as LogIndex, MOST_FLUSH_BYTES);
        await this.store.append(batch);
        this.written = this.written + batch.length as LogIndex;
        if (this.written < this.lastIndex) this.scheduleFlush();
        // Entries of this batch may have been cut off meanwhile; the flush that follows the cut settles what stands.
        if (cuts !== this.cuts) return;
        this.durable = this.written;
        this.settleWaiters();
        this.listener.onDurable();
    }

    /** Brings the files to where the memory was cut. More cuts may come while one is made. */
    private async cutFiles(): Promise<void> {
        while (this.pendingCut !== undefined) {
            const index = this.pendingCut;
            this.pendingCut = undefined;
            if (this.written < index) continue;
            await this.store.truncateFrom(index);
            this.written = Math.max(index - 1, this.baseIndex) as LogIndex;
        }
    }

    /** What a full disk did not take leaves the memory too, so that both go on alike; other failures end the log. */
    private async guard(work: () => Promise<void>): Promise<void> {
        try {
            await work();
        }
        catch (err) {
            const failure = err instanceof StoreError ? err : new StoreError("io", String(err));
            if (failure.reason === "full") {
                this.forgetFrom(this.written + 1 as LogIndex, failure);
            }
            else {
                this.failure = failure;
                this.rejectWaiters(0 as LogIndex, failure);
            }
            this.listener.onStoreError(failure);
        }
    }

    private settleWaiters(): void {
        const done = this.waiters.filter(waiter => waiter.index <= this.durable);
        this.waiters = this.waiters.filter(waiter => waiter.index > this.durable);
        for (const waiter of done) waiter.resolve();
    }

    private rejectWaiters(from: LogIndex, err: StoreError): void {
        const failed = this.waiters.filter(waiter => waiter.index >= from);
        this.waiters = this.waiters.filter(waiter => waiter.index < from);
        for (const waiter of failed) waiter.reject(err);
    }
}
