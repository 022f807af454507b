import { Clock } from "../../ports/index.js";

/**
 * Counts the hosts that are lost at the same time. A host is lost while it is away, and for some time after it is back.
 *
 * @example
 * const tally = new LossTally(clock, 4_000);
 * tally.markAway("a");
 * tally.markBack("a");
 */
export class LossTally {
    /** Monotonic time until which each host counts as lost, in milliseconds. */
    private readonly lostUntil = new Map<string, number>();

    /** @param catchUpMs - How long a host counts as lost after it is back, in milliseconds. */
    constructor(private readonly clock: Clock, private readonly catchUpMs: number) {}

    /** Counts a host as lost until `markBack`. */
    markAway(name: string): void {
        this.lostUntil.set(name, Number.POSITIVE_INFINITY);
    }

    /** Records that a host, or its successor, is back. */
    markBack(name: string): void {
        this.lostUntil.set(name, this.clock.monotonic() + this.catchUpMs);
    }

    isLost(name: string): boolean {
        return (this.lostUntil.get(name) ?? Number.NEGATIVE_INFINITY) > this.clock.monotonic();
    }

    /** Number of hosts that are lost now. */
    count(): number {
        return [...this.lostUntil.keys()].filter(name => this.isLost(name)).length;
    }
}
