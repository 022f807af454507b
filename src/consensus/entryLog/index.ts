import PQueue from "p-queue";
import { LogIndex, Term } from "../../ids/index.js";
import { LogStore, StoredEntry, StoreError } from "../../store/index.js";

const MAX_FLUSH_BYTES = 8 * 1024 * 1024;

/** A caller of `whenDurable` that waits for the sync of an entry. */
interface DurableWaiter {
    readonly index: LogIndex;
    readonly resolve: () => void;
    readonly reject: (err: StoreError) => void;
}

/** Callbacks for the results of the log's writer. */
export interface EntryLogListener {
    /** Called after more entries have been synced. */
    onDurable(): void;
    /**
     * Called after a disk failure. If the disk was full, the entries that it did not accept have already been removed
     * from the log.
     */
    onStoreError(err: StoreError): void;
}

/**
 * Log entries after the snapshot. Appended entries are available in memory at once and are on disk once the writer has
 * synced them. Entries that arrive during a sync are written together in the next one (group commit).
 *
 * @example
 * log.append(entries);
 * await log.whenDurable(log.lastIndex);
 */
export class EntryLog {
    private readonly writer = new PQueue({ concurrency: 1 });
    private entries: StoredEntry[];
    /** Index and term of the entry before the first one in `entries`. */
    private baseIndex: LogIndex;
    private baseTerm: Term;
    /** Last index known to be synced. */
    private syncedIndex: LogIndex;
    /** Last index in the files. Changed only by the writer's jobs. */
    private writtenIndex: LogIndex;
    /**
     * Number of truncations. A flush compares it to detect that entries of its batch may have been removed meanwhile.
     */
    private truncationCount = 0;
    private pendingTruncation: LogIndex | undefined;
    private failure: StoreError | undefined;
    private isFlushScheduled = false;
    private waiters: DurableWaiter[] = [];

    /**
     * @param store - Opened store; the log takes over its entries.
     * @param listener - Notified of progress and failures.
     */
    constructor(private readonly store: LogStore, private readonly listener: EntryLogListener) {
        this.entries = store.takeLoadedEntries();
        const first = this.entries.at(0);
        this.baseIndex = (first ? first.index - 1 : store.snapshot?.index ?? 0) as LogIndex;
        this.baseTerm = store.snapshot?.index === this.baseIndex ? store.snapshot.term : 0 as Term;
        this.syncedIndex = this.lastIndex;
        this.writtenIndex = this.lastIndex;
    }

    get lastIndex(): LogIndex {
        return this.baseIndex + this.entries.length as LogIndex;
    }

    get lastTerm(): Term {
        return this.entries.at(-1)?.term ?? this.baseTerm;
    }

    /** Index of the first entry that has not been compacted. */
    get firstIndex(): LogIndex {
        return this.baseIndex + 1 as LogIndex;
    }

    /** Last index that is synced to the local disk. */
    get durableIndex(): LogIndex {
        return this.syncedIndex;
    }

    /** Returns the term of an entry, or undefined when it has been compacted or does not exist yet. */
    termAt(index: LogIndex): Term | undefined {
        if (index === this.baseIndex) return this.baseIndex === 0 ? 0 as Term : this.baseTerm || undefined;
        return this.entryAt(index)?.term;
    }

    entryAt(index: LogIndex): StoredEntry | undefined {
        return index <= this.baseIndex ? undefined : this.entries[index - this.baseIndex - 1];
    }

    /**
     * Returns entries starting at an index, limited by their total payload size. Contains at least one entry if any
     * exists.
     */
    slice(from: LogIndex, maxBytes: number): StoredEntry[] {
        const batch: StoredEntry[] = [];
        let bytes = 0;
        for (let index = from; index <= this.lastIndex; index++) {
            const entry = this.entryAt(index)!;
            bytes += entry.payload.length;
            if (batch.length > 0 && bytes > maxBytes) break;
            batch.push(entry);
        }
        return batch;
    }

    /** Appends entries after the last one and schedules their sync. */
    append(entries: readonly StoredEntry[]): void {
        for (const entry of entries) this.entries.push(entry);
        this.scheduleFlush();
    }

    /** Removes the entry at an index and all later entries. */
    truncateFrom(index: LogIndex): void {
        this.discardFrom(index, new StoreError("stale", `entry ${index} gave way to the leader's`));
        this.scheduleFileTruncation(index);
    }

    /** Resolves once the entry at an index is synced. Rejects when the entry is removed or the log fails. */
    whenDurable(index: LogIndex): Promise<void> {
        if (this.failure) return Promise.reject(this.failure);
        if (index <= this.syncedIndex) return Promise.resolve();
        return new Promise((resolve, reject) => this.waiters.push({ index, resolve, reject }));
    }

    /** Removes entries up to and including an index that a synced snapshot covers. */
    compactThrough(index: LogIndex): void {
        const term = this.termAt(index);
        if (index <= this.baseIndex || term === undefined) return;
        this.entries = this.entries.slice(index - this.baseIndex);
        this.baseIndex = index;
        this.baseTerm = term;
        void this.writer.add(() => this.runWrite(() => this.store.removeSegmentsBefore(index)));
    }

    /** Replaces all entries by a snapshot that is already synced. */
    resetToSnapshot(index: LogIndex, term: Term): void {
        this.discardFrom(this.firstIndex, new StoreError("stale", "a snapshot took the log's place"));
        this.baseIndex = index;
        this.baseTerm = term;
        this.syncedIndex = index;
        this.scheduleFileTruncation(0 as LogIndex);
    }

    /** Rejects the waiters and waits for the writer's pending jobs. */
    async close(): Promise<void> {
        this.failure = new StoreError("stale", "the log is closed");
        this.rejectWaiters(0 as LogIndex, this.failure);
        await this.writer.onIdle();
    }

    private discardFrom(index: LogIndex, err: StoreError): void {
        this.truncationCount++;
        this.entries.length = Math.min(this.entries.length, Math.max(0, index - this.baseIndex - 1));
        this.syncedIndex = Math.min(this.syncedIndex, index - 1) as LogIndex;
        this.rejectWaiters(index, err);
    }

    private scheduleFileTruncation(index: LogIndex): void {
        this.pendingTruncation = Math.min(this.pendingTruncation ?? index, index) as LogIndex;
        this.scheduleFlush();
    }

    private scheduleFlush(): void {
        if (this.isFlushScheduled || this.failure) return;
        this.isFlushScheduled = true;
        void this.writer.add(() => this.runWrite(() => this.flush()));
    }

    private async flush(): Promise<void> {
        this.isFlushScheduled = false;
        await this.truncateFiles();
        const truncationsBefore = this.truncationCount;
        const batch = this.slice(this.writtenIndex + 1 as LogIndex, MAX_FLUSH_BYTES);
        await this.store.append(batch);
        this.writtenIndex = this.writtenIndex + batch.length as LogIndex;
        if (this.writtenIndex < this.lastIndex) this.scheduleFlush();
        // Entries of this batch may have been truncated during the write. The flush that follows the truncation reports
        // the remaining ones.
        if (truncationsBefore !== this.truncationCount) return;
        this.syncedIndex = this.writtenIndex;
        this.settleWaiters();
        this.listener.onDurable();
    }

    /** Applies pending truncations to the files. More may be requested while one is running. */
    private async truncateFiles(): Promise<void> {
        while (this.pendingTruncation !== undefined) {
            const index = this.pendingTruncation;
            this.pendingTruncation = undefined;
            if (this.writtenIndex < index) continue;
            await this.store.truncateFrom(index);
            this.writtenIndex = Math.max(index - 1, this.baseIndex) as LogIndex;
        }
    }

    /**
     * Runs a job of the writer and handles its failure. Entries that a full disk did not accept are removed from memory
     * too, so that memory and files agree. Any other failure ends the log.
     */
    private async runWrite(write: () => Promise<void>): Promise<void> {
        try {
            await write();
        }
        catch (err) {
            const failure = err instanceof StoreError ? err : new StoreError("io", String(err));
            if (failure.reason === "full") {
                this.discardFrom(this.writtenIndex + 1 as LogIndex, failure);
            }
            else {
                this.failure = failure;
                this.rejectWaiters(0 as LogIndex, failure);
            }
            this.listener.onStoreError(failure);
        }
    }

    private settleWaiters(): void {
        const done = this.waiters.filter(waiter => waiter.index <= this.syncedIndex);
        this.waiters = this.waiters.filter(waiter => waiter.index > this.syncedIndex);
        for (const waiter of done) waiter.resolve();
    }

    private rejectWaiters(from: LogIndex, err: StoreError): void {
        const failed = this.waiters.filter(waiter => waiter.index >= from);
        this.waiters = this.waiters.filter(waiter => waiter.index < from);
        for (const waiter of failed) waiter.reject(err);
    }
}
