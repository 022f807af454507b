import { DiskError } from "../../ports/index.js";

/** Thrown when a data folder can't be used or a write to it failed. */
export class StoreError extends Error {
    /**
     * @param reason - `damaged`: synced bytes have changed, so the replica must stop. `full`: nothing of the write was
     * stored, and it may be retried. `locked`: another process uses the folder. `io`: the disk failed, and its contents
     * are unknown until they are read again. `stale`: the written entries were removed or the log was closed meanwhile.
     * @param detail - Details for logs.
     */
    constructor(readonly reason: "damaged" | "full" | "locked" | "io" | "stale", detail: string) {
        super(`${reason}: ${detail}`);
    }
}

/** Converts an error thrown by the disk into a `StoreError`. */
export function toStoreError(err: unknown): StoreError {
    if (err instanceof StoreError) return err;
    if (err instanceof DiskError && err.reason !== "missing") return new StoreError(err.reason, err.message);
    return new StoreError("io", String(err));
}
