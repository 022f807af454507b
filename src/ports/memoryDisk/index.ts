import { Clock } from "../clock/index.js";
import { AppendFile, Disk, DiskError, DiskLock } from "../disk/index.js";

interface StoredFile {
    synced: Uint8Array;
    unsynced: Uint8Array;
}

/**
 * A disk inside the process that loses what was not synced, fills up, slows down and gets damaged on demand.
 *
 * @example
 * const disk = new MemoryDisk(clock);
 * disk.crash(3); // three unsynced bytes of each file survive: a torn tail
 */
export class MemoryDisk extends Disk {
    /** How long each sync takes, in milliseconds. */
    syncMs = 0;
    /** How many bytes fit; what goes beyond fails with "full". */
    capacity = Number.POSITIVE_INFINITY;
    private files = new Map<string, StoredFile>();
    private locked = false;

    /** @param clock - Time for slow syncs. */
    constructor(private readonly clock: Clock) {
        super();
    }

    async makeFolder(): Promise<void> {
        // Folders exist once a file names them.
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
        return new MemoryAppend(this, path);
    }

    async replace(path: string, bytes: Uint8Array): Promise<void> {
        this.reserve(bytes.length);
        // A crash during the sync leaves the old content, and the write goes nowhere.
        const { files } = this;
        await this.waitForSync();
        files.set(path, { synced: Uint8Array.from(bytes), unsynced: new Uint8Array() });
    }

    async remove(path: string): Promise<void> {
        this.files.delete(path);
    }

    async lock(): Promise<DiskLock> {
        if (this.locked) throw new DiskError("locked", "the data folder is in use by another process");
        this.locked = true;
        return {
            release: async () => {
                this.locked = false;
            },
        };
    }

    /**
     * What a power cut leaves: the synced bytes, and of each file the first few unsynced ones. Files opened before the
     * crash write to nowhere.
     *
     * @param keptUnsynced - How many unsynced bytes of each file survive.
     */
    crash(keptUnsynced = 0): void {
        const survivors = new Map<string, StoredFile>();
        for (const [path, file] of this.files) {
            const kept = Buffer.concat([file.synced, file.unsynced.subarray(0, keptUnsynced)]);
            survivors.set(path, { synced: kept, unsynced: new Uint8Array() });
        }
        this.files = survivors;
        this.locked = false;
    }

    /** Throws everything away, as a replaced disk does. */
    wipe(): void {
        this.files = new Map();
        this.locked = false;
    }

    /** Flips one bit of a file. */
    damage(path: string, offset: number): void {
        const file = this.files.get(path);
        if (!file || offset >= file.synced.length) throw new Error(`${path} has no synced byte ${offset}`);
        file.synced[offset] ^= 1;
    }

    fileFor(path: string): StoredFile | undefined {
        return this.files.get(path);
    }

    reserve(size: number): void {
        let used = size;
        for (const file of this.files.values()) used += file.synced.length + file.unsynced.length;
        if (used > this.capacity) throw new DiskError("full", "no space left");
    }

    async waitForSync(): Promise<void> {
        if (this.syncMs > 0) await this.clock.sleep(this.syncMs);
    }
}

class MemoryAppend extends AppendFile {
    private readonly file: StoredFile;

    constructor(private readonly disk: MemoryDisk, path: string) {
        super();
        this.file = disk.fileFor(path)!;
    }

    get size(): number {
        return this.file.synced.length + this.file.unsynced.length;
    }

    async append(bytes: Uint8Array): Promise<void> {
        this.disk.reserve(bytes.length);
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
        // Nothing is held open.
    }
}
