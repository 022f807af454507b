import { CallerHolding } from "../callerBudget/index.js";

const MIN_CAPACITY_BYTES = 1_024;
/** Growth of a storage that is full. What it leaves behind is garbage until it is collected, and what it does not use is not resident. */
const GROWTH_FACTOR = 4;
const EMPTY = Buffer.alloc(0);

/** Why a body is not stored: it is larger than allowed, or the callers' budget is used up. */
export type StorageRefusal = "too-large" | "over-capacity";

/**
 * The bytes of a body that is being received, paid from its connection's holding.
 *
 * The room of an announced length is taken at once: where the budget is used up, the caller learns it before it sends the body.
 *
 * @example
 * const storage = new BodyStorage(holding, limitBytes);
 * const refusal = storage.reserve(announcedBytes) ?? storage.append(chunk);
 */
export class BodyStorage {
    private bytes = EMPTY;
    private length = 0;
    /** Bytes taken of the holding. */
    private paid = 0;
    private capacity = 0;

    /** @param limitBytes - Maximum size of the body, in bytes. */
    constructor(private readonly holding: CallerHolding, private readonly limitBytes: number) {}

    /** Takes room for a body of an announced size, in bytes. */
    reserve(announcedBytes: number): StorageRefusal | undefined {
        if (announcedBytes > this.limitBytes) return "too-large";
        return this.pay(announcedBytes) ? undefined : "over-capacity";
    }

    /** Adds a copy of the next bytes. */
    append(chunk: Uint8Array): StorageRefusal | undefined {
        const length = this.length + chunk.length;
        if (length > this.limitBytes) return "too-large";
        if (length > this.capacity && !this.grow(length)) return "over-capacity";
        this.bytes.set(chunk, this.length);
        this.length = length;
        return undefined;
    }

    /** The body, which stays paid for until it is dropped. */
    view(): Uint8Array {
        return this.bytes.subarray(0, this.length);
    }

    /** Drops the bytes, and gives back what they took of the holding. */
    drop(): void {
        this.bytes = EMPTY;
        this.length = 0;
        this.capacity = 0;
        this.giveBack(this.paid);
    }

    /** Moves the bytes to a larger storage; both are paid for meanwhile. The room of an announced length is paid for already. */
    private grow(length: number): boolean {
        const isReserved = this.capacity === 0 && this.paid >= length;
        const capacity = isReserved ? this.paid : this.chooseCapacity(length);
        if (!isReserved && !this.pay(capacity)) return false;
        const bytes = Buffer.allocUnsafeSlow(capacity);
        bytes.set(this.view());
        this.bytes = bytes;
        this.giveBack(this.capacity);
        this.capacity = capacity;
        return true;
    }

    private chooseCapacity(length: number): number {
        return Math.min(this.limitBytes, Math.max(MIN_CAPACITY_BYTES, length, GROWTH_FACTOR * this.capacity));
    }

    private pay(bytes: number): boolean {
        if (!this.holding.tryGrow(bytes)) return false;
        this.paid += bytes;
        return true;
    }

    private giveBack(bytes: number): void {
        this.holding.shrink(bytes);
        this.paid -= bytes;
    }
}
