import { Clock } from "../../ports/index.js";

interface EndedValue {
    readonly value: number;
    /** Monotonic time until which it was the current value, in milliseconds. */
    readonly until: number;
}

/**
 * The largest value that something has had within a time.
 *
 * @example
 * const hosts = new RecentMaximum(clock, 60_000);
 * hosts.record(71);
 */
export class RecentMaximum {
    private current = 0;
    /** Ended values, the newest last; each is larger than those after it and than the current one. */
    private ended: EndedValue[] = [];

    /** @param spanMs - Time for which a value counts after it has ended, in milliseconds. */
    constructor(private readonly clock: Clock, private readonly spanMs: number) {}

    /** Sets the current value. */
    record(value: number): void {
        if (value === this.current) return;
        const now = this.clock.monotonic();
        this.ended.push({ value: this.current, until: now });
        this.ended = this.ended.filter(each => each.value > value && each.until >= now - this.spanMs);
        this.current = value;
    }

    /** Returns the largest value of the last `spanMs`. */
    get value(): number {
        const oldest = this.clock.monotonic() - this.spanMs;
        return Math.max(this.current, ...this.ended.filter(({ until }) => until >= oldest).map(({ value }) => value));
    }
}
