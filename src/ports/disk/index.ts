/** A disk that did not do what was asked. */
export class DiskError extends Error {
    /** @param reason - What the operating system said, in a word. */
    constructor(readonly reason: "full" | "missing" | "locked" | "io", detail: string) {
        super(`${reason}: ${detail}`);
    }
}

/** A file open for appending. */
export abstract class AppendFile {
    /** Size in bytes, appended but unsynced bytes included. */
    abstract readonly size: number;

    /**
     * Adds bytes at the end. They last only once `sync` has settled.
     *
     * @throws DiskError
     */
    abstract append(bytes: Uint8Array): Promise<void>;

    /**
     * Makes all that was appended last.
     *
     * @throws DiskError
     */
    abstract sync(): Promise<void>;

    /** Cuts the file to a size, and makes that last. */
    abstract truncate(size: number): Promise<void>;

    abstract close(): Promise<void>;
}

/** A lock on a folder, held until released or until the process ends. */
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
    /** Makes a folder and those above it, and makes them last. */
    abstract makeFolder(path: string): Promise<void>;

    /** The names in a folder, sorted. */
    abstract list(path: string): Promise<string[]>;

    /** The whole content of a file, or undefined when there is none. */
    abstract read(path: string): Promise<Uint8Array | undefined>;

    /** Opens a file for appending, making it (and its entry in the folder last) when there is none. */
    abstract openAppend(path: string): Promise<AppendFile>;

    /** Replaces a file as a whole: a reader after a crash finds the old content or the new, never a mix. */
    abstract replace(path: string, bytes: Uint8Array): Promise<void>;

    /** Removes a file; harmless when there is none. */
    abstract remove(path: string): Promise<void>;

    /**
     * Takes the data folder for this process alone.
     *
     * @throws DiskError with `locked` when a live process has it.
     */
    abstract lock(): Promise<DiskLock>;
}
