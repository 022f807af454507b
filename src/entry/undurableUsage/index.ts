import { Clock } from "../../ports/index.js";

interface Entry {
    readonly position: number;
    /** Monotonic time at which it was counted, in milliseconds. */
    readonly countedAt: number;
}

/**
 * Knows for how long usage has not been durable.
 *
 * @example
 * undurable.add(positions.last);
 * metrics.gauge("usage_undurable_age_ms", undurable.ageMs);
 */
export class UndurableUsage {
    private readonly entries: Entry[] = [];

    constructor(private readonly clock: Clock) {}

    /** Age of the oldest usage that is not durable, in milliseconds; 0 when there is none. */
    get ageMs(): number {
        const oldest = this.entries[0];
        return oldest ? this.clock.monotonic() - oldest.countedAt : 0;
    }

    /** Adds usage that was just counted. */
    add(position: number): void {
        this.entries.push({ position, countedAt: this.clock.monotonic() });
    }

    /**
     * Removes usage that has become durable.
     *
     * @returns How long each took, in milliseconds.
     */
    removeUpTo(position: number): readonly number[] {
        const firstKept = this.entries.findIndex(entry => entry.position > position);
        const removed = this.entries.splice(0, firstKept < 0 ? this.entries.length : firstKept);
        const now = this.clock.monotonic();
        return removed.map(({ countedAt }) => now - countedAt);
    }
}
