/** Bytes that each share may hold, whatever the others hold. */
const FREE_BYTES = 64 * 1024;
/** Bytes beyond those that all shares may hold together. */
const DEFAULT_LIMIT_BYTES = 8 * 1024 * 1024;

/**
 * Bounds what a process holds of the answers that it receives. Limits of single answers don't bound the sum of many: as many faulty upstreams
 * as there are calls could each fill theirs.
 *
 * @example
 * const share = heldBytes.open();
 * if (!share.resize(buffered.length)) giveUp();
 * share.close();
 */
export class HeldBytes {
    private sharedBytes = 0;

    /** @param limitBytes - What all shares may hold together beyond what each may hold by itself. */
    constructor(private readonly limitBytes = DEFAULT_LIMIT_BYTES) {}

    /** Bytes that shares hold beyond what each may hold by itself. */
    get bytes(): number {
        return this.sharedBytes;
    }

    /** Opens the share of an answer, which must be closed. */
    open(): HeldShare {
        return new HeldShare(this);
    }

    /** Takes bytes, or gives them back where the number is negative. Returns false where there is no room. */
    take(bytes: number): boolean {
        if (bytes > 0 && this.sharedBytes + bytes > this.limitBytes) return false;
        this.sharedBytes += bytes;
        return true;
    }
}

/** What is held of one answer. */
export class HeldShare {
    private taken = 0;

    constructor(private readonly held: HeldBytes) {}

    /** Sets how many bytes are held. Returns false, and changes nothing, where there is no room for them. */
    resize(bytes: number): boolean {
        const needed = Math.max(0, bytes - FREE_BYTES);
        if (needed === this.taken) return true;
        if (!this.held.take(needed - this.taken)) return false;
        this.taken = needed;
        return true;
    }

    /** Gives everything back. */
    close(): void {
        this.resize(0);
    }
}
