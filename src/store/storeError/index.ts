import { DiskError } from "../../ports/index.js";

/** A data folder that can't be used, or did not take what it was given. */
export class StoreError extends Error {
    /**
     * @param reason - `damaged`: bytes that were synced have changed, so the replica must not go on. `full`: nothing of the
     * write was kept, and it may be tried again. `locked`: another process has the folder. `io`: the disk failed, and what
     * it holds is unknown until it is read again. `stale`: the write was overtaken by a cut of the log.
     * @param detail - For logs.
     */
    constructor(readonly reason: "damaged" | "full" | "locked" | "io" | "stale", detail: string) {
        super(`${reason}: ${detail}`);
    }
}

/** Turns what the disk threw into a store's error. */
export function turnDiskError(err: unknown): StoreError {
    if (err instanceof StoreError) return err;
    if (err instanceof DiskError && err.reason !== "missing") return new StoreError(err.reason, err.message);
    return new StoreError("io", String(err));
}
