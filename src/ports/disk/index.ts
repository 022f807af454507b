/** A disk operation that failed. */
export class DiskError extends Error {
    /** @param reason - The class of the operating system's error. */
    constructor(readonly reason: "full" | "missing" | "locked" | "io", detail: string) {
        super(`${reason}: ${detail}`);
    }
}

/** A file opened for appending. */
export abstract class AppendFile {
    /** Size in bytes, including appended bytes that are not synced yet. */
    abstract readonly size: number;

    /**
     * Appends bytes. They are durable only after `sync` has resolved.
     *
     * @throws DiskError
     */
    abstract append(bytes: Uint8Array): Promise<void>;

    /**
     * Makes all appended bytes durable.
     *
     * @throws DiskError
     */
    abstract sync(): Promise<void>;

    /** Truncates the file to a size in bytes, durably. */
    abstract truncate(size: number): Promise<void>;

    abstract close(): Promise<void>;
}

/** Exclusive lock on a folder, held until it is released or the process ends. */
export interface DiskLock {
    release(): Promise<void>;
}

/**
 * Files below one data folder. Paths are relative to it, with `/` between names.
 *
 * @example
 * const file = await disk.openAppend("log/00000001.seg");
 */
export abstract class Disk {
    /** Creates a folder and its parents, durably. */
    abstract makeFolder(path: string): Promise<void>;

    /** Returns the names in a folder, sorted. */
    abstract list(path: string): Promise<string[]>;

    /** Returns the content of a file, or undefined if it does not exist. */
    abstract read(path: string): Promise<Uint8Array | undefined>;

    /** Opens a file for appending. Creates it if it does not exist, with a durable entry in its folder. */
    abstract openAppend(path: string): Promise<AppendFile>;

    /** Replaces a file atomically: after a crash, it has either the old content or the new. */
    abstract replace(path: string, bytes: Uint8Array): Promise<void>;

    /** Removes a file, if it exists. */
    abstract remove(path: string): Promise<void>;

    /**
     * Locks the data folder for this process.
     *
     * @throws DiskError with reason `locked` if a running process holds the lock.
     */
    abstract lock(): Promise<DiskLock>;
}
