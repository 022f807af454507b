import { Clock } from "../clock/index.js";
import { AppendFile, Disk, DiskError, DiskLock } from "../disk/index.js";

/** The content of one file, split by whether it survives a crash. */
interface StoredFile {
    synced: Uint8Array;
    unsynced: Uint8Array;
}

/**
 * In-memory disk for tests that simulates lost unsynced writes, a full disk, slow syncs and corruption.
 *
 * @example
 * const disk = new MemoryDisk(clock);
 * disk.crash(3); // three unsynced bytes of each file survive: a torn tail
 */
export class MemoryDisk extends Disk {
    /** Duration of each sync, in milliseconds. */
    syncDurationMs = 0;
    /** Total size in bytes; a write beyond it fails with reason `full`. */
    capacityBytes = Number.POSITIVE_INFINITY;
    private files = new Map<string, StoredFile>();
    private isLocked = false;

    /** @param clock - Times slow syncs. */
    constructor(private readonly clock: Clock) {
        super();
    }

    async makeFolder(): Promise<void> {
        // Folders are implied by the paths of their files.
    }

    async list(path: string): Promise<string[]> {
        const prefix = `${path}/`;
        return [...this.files.keys()].filter(name => name.startsWith(prefix)).map(name => name.slice(prefix.length))
            .sort();
    }

    async read(path: string): Promise<Uint8Array | undefined> {
        const file = this.files.get(path);
        return file && Buffer.concat([file.synced, file.unsynced]);
    }

    async openAppend(path: string): Promise<AppendFile> {
        if (!this.files.has(path)) this.files.set(path, { synced: new Uint8Array(), unsynced: new Uint8Array() });
        return new MemoryAppendFile(this, path);
    }

    async replace(path: string, bytes: Uint8Array): Promise<void> {
        this.ensureCapacity(bytes.length);
        // A crash during the sync replaces `this.files`, so that this write is lost and the old content stays.
        const { files } = this;
        await this.waitForSync();
        files.set(path, { synced: Uint8Array.from(bytes), unsynced: new Uint8Array() });
    }

    async remove(path: string): Promise<void> {
        this.files.delete(path);
    }

    async lock(): Promise<DiskLock> {
        if (this.isLocked) throw new DiskError("locked", "the data folder is in use by another process");
        this.isLocked = true;
        return {
            release: async () => {
                this.isLocked = false;
            },
        };
    }

    /**
     * Simulates a power failure: keeps the synced bytes of each file and the first few unsynced ones. Writes to files opened
     * before the crash have no effect.
     *
     * @param keptUnsyncedBytes - Number of unsynced bytes of each file that survive.
     */
    crash(keptUnsyncedBytes = 0): void {
        const survivors = new Map<string, StoredFile>();
        for (const [path, file] of this.files) {
            const kept = Buffer.concat([file.synced, file.unsynced.subarray(0, keptUnsyncedBytes)]);
            survivors.set(path, { synced: kept, unsynced: new Uint8Array() });
        }
        this.files = survivors;
        this.isLocked = false;
    }

    /** Removes all files, as if the disk had been replaced. */
    wipe(): void {
        this.files = new Map();
        this.isLocked = false;
    }

    /** Flips one bit of a file's synced content, at a byte offset. */
    flipBit(path: string, offset: number): void {
        const file = this.files.get(path);
        if (!file || offset >= file.synced.length) throw new Error(`${path} has no synced byte ${offset}`);
        file.synced[offset] ^= 1;
    }

    fileFor(path: string): StoredFile | undefined {
        return this.files.get(path);
    }

    ensureCapacity(size: number): void {
        let used = size;
        for (const file of this.files.values()) used += file.synced.length + file.unsynced.length;
        if (used > this.capacityBytes) throw new DiskError("full", "no space left");
    }

    async waitForSync(): Promise<void> {
        if (this.syncDurationMs > 0) await this.clock.sleep(this.syncDurationMs);
    }
}

class MemoryAppendFile extends AppendFile {
    private readonly file: StoredFile;

    constructor(private readonly disk: MemoryDisk, path: string) {
        super();
        this.file = disk.fileFor(path)!;
    }

    get size(): number {
        return this.file.synced.length + this.file.unsynced.length;
    }

    async append(bytes: Uint8Array): Promise<void> {
        this.disk.ensureCapacity(bytes.length);
        this.file.unsynced = Buffer.concat([this.file.unsynced, bytes]);
    }

    async sync(): Promise<void> {
        const upTo = this.file.unsynced.length;
        await this.disk.waitForSync();
        this.file.synced = Buffer.concat([this.file.synced, this.file.unsynced.subarray(0, upTo)]);
        this.file.unsynced = this.file.unsynced.subarray(upTo);
    }

    async truncate(size: number): Promise<void> {
        const whole = Buffer.concat([this.file.synced, this.file.unsynced]);
        this.file.synced = whole.subarray(0, size);
        this.file.unsynced = new Uint8Array();
    }

    async close(): Promise<void> {
        // There is no file handle to close.
    }
}
