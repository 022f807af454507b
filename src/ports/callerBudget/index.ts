/** What the callers of a process may hold together. */
export interface BudgetLimits {
    /** Memory for their requests, in bytes. */
    readonly bytes: number;
}

/** Parts of the budget that holdings up to a size, in bytes, may use: the larger one is, the more it leaves to others. */
const USABLE_RATIOS: readonly (readonly [maxBytes: number, ratio: number])[] = [
    // One ordinary request.
    [64 * 1_024, 1],
    // A long prompt, or several requests.
    [128 * 1_024, 7 / 8],
];
/** Part of the budget that larger holdings may use. */
export const MAX_LARGE_HOLDINGS_RATIO = 3 / 4;
/** Time without a byte after which a caller counts as stalled, in milliseconds. */
const STALLED_AFTER_MS = 1_000;

/**
 * Bounds what all callers of a process hold together, since limits of single requests don't bound the sum of many.
 *
 * Larger holdings leave a part of the budget to smaller ones, so that a crowd does not take the room of ordinary requests. When
 * the budget is used up, the largest holding whose caller is stalled gives way: a caller that sends nothing would otherwise keep its room
 * for as long as it likes.
 *
 * @example
 * const budget = new CallerBudget({ bytes: 50_000_000 }, () => clock.monotonic());
 * const holding = budget.open();
 */
export class CallerBudget {
    private readonly holdings = new Set<CallerHolding>();
    private heldBytes = 0;

    /** @param monotonic - Returns the monotonic time, in milliseconds. */
    constructor(private readonly limits: BudgetLimits, readonly monotonic: () => number) {}

    /** Bytes that all connections hold. */
    get bytes(): number {
        return this.heldBytes;
    }

    /** Opens the holding of a new connection. */
    open(): CallerHolding {
        const holding = new CallerHolding(this);
        this.holdings.add(holding);
        return holding;
    }

    /** Takes bytes for a holding. Evicts stalled callers where that makes room. */
    take(holding: CallerHolding, bytes: number): boolean {
        while (!this.fits(holding, bytes)) {
            const stalled = this.findStalled(holding);
            if (!stalled) return false;
            stalled.evict();
        }
        this.heldBytes += bytes;
        return true;
    }

    /** Gives bytes back. */
    giveBack(bytes: number): void {
        this.heldBytes -= bytes;
    }

    /** Forgets the holding of a connection that is closed. */
    remove(holding: CallerHolding): void {
        this.holdings.delete(holding);
    }

    private fits(holding: CallerHolding, bytes: number): boolean {
        const size = holding.bytes + bytes;
        const [, ratio] = USABLE_RATIOS.find(([maxBytes]) => size <= maxBytes) ?? [size, MAX_LARGE_HOLDINGS_RATIO];
        return this.heldBytes + bytes <= ratio * this.limits.bytes;
    }

    /** Returns the largest holding whose caller is stalled. */
    private findStalled(except: CallerHolding): CallerHolding | undefined {
        const stalledSince = this.monotonic() - STALLED_AFTER_MS;
        let largest: CallerHolding | undefined;
        for (const holding of this.holdings) {
            const isStalled = holding !== except && holding.waitsSince <= stalledSince;
            if (isStalled && holding.bytes > (largest?.bytes ?? 0)) largest = holding;
        }
        return largest;
    }
}

/** What one connection holds of the budget. */
export class CallerHolding {
    private heldBytes = 0;
    private waitingSince = Number.POSITIVE_INFINITY;
    private evictRequest: (() => void) | undefined;
    private isClosed = false;

    constructor(private readonly budget: CallerBudget) {}

    /** Bytes that the connection holds. */
    get bytes(): number {
        return this.heldBytes;
    }

    /** Monotonic time since which its caller has sent nothing of a body that is waited for, in milliseconds; infinite while none is. */
    get waitsSince(): number {
        return this.waitingSince;
    }

    /** Takes bytes of the budget. Returns false where there is no room for them. */
    tryGrow(bytes: number): boolean {
        if (this.isClosed || !this.budget.take(this, bytes)) return false;
        this.heldBytes += bytes;
        return true;
    }

    /** Gives bytes back. */
    shrink(bytes: number): void {
        if (this.isClosed) return;
        this.heldBytes -= bytes;
        this.budget.giveBack(bytes);
    }

    /**
     * Records that more of a request's body is waited for, from now on.
     *
     * @param evict - Refuses the request and gives back what it holds; called when its caller is stalled and others need the room.
     */
    awaitBody(evict: () => void): void {
        this.evictRequest = evict;
        this.waitingSince = this.budget.monotonic();
    }

    /** Records that no body is waited for. */
    awaitNothing(): void {
        this.evictRequest = undefined;
        this.waitingSince = Number.POSITIVE_INFINITY;
    }

    /** Ends the request whose body is waited for. */
    evict(): void {
        const evict = this.evictRequest;
        this.awaitNothing();
        evict?.();
    }

    /** Gives everything back; the connection is closed. */
    close(): void {
        if (this.isClosed) return;
        this.shrink(this.heldBytes);
        this.isClosed = true;
        this.awaitNothing();
        this.budget.remove(this);
    }
}
