import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

type CollectOptions = { readonly type: "minor"; };

/** Bytes after which what was received is collected. */
const COLLECT_AFTER_BYTES = 4 * 1_024 * 1_024;

let collector: ((options: CollectOptions) => void) | undefined;

/**
 * Collects the young generation of the heap. Without the flag `--expose-gc`, sets it at the first call.
 *
 * @example
 * collectYoung();
 */
function collectYoung(): void {
    if (!collector) {
        setFlagsFromString("--expose-gc");
        collector = runInNewContext("gc") as (options: CollectOptions) => void;
    }
    collector({ type: "minor" });
}

/**
 * Has bytes collected that were received and are not needed any more.
 *
 * Buffers lie outside the heap, and Node collects them by what the heap needs: it lets tens of megabytes of them pile up, more than a small
 * host has to spare.
 *
 * @example
 * const garbage = new ReceivedGarbage();
 * garbage.add(chunk.length);
 */
export class ReceivedGarbage {
    private bytes = 0;

    constructor(private readonly collect = collectYoung) {}

    /** Records that buffers were filled which will soon be garbage. */
    add(bytes: number): void {
        this.bytes += bytes;
        if (this.bytes < COLLECT_AFTER_BYTES) return;
        this.bytes = 0;
        this.collect();
    }
}
