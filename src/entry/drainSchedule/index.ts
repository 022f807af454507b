import { Clock } from "../../ports/index.js";

/** Part of a drain's grace in which requests without an answer get a final one, in milliseconds. */
const FINAL_ANSWERS_MS = 200;

/** Lengths of the parts of a planned stop. */
export interface DrainLimits {
    /** Time for which new requests are still accepted, in milliseconds. */
    readonly balancerMs: number;
    /** Maximum time for running work after that, in milliseconds. */
    readonly graceMs: number;
}

/**
 * The moments of a planned stop, all counted from its beginning: timers that fire late on a busy host must not postpone its end, since the
 * supervisor kills the process then.
 *
 * @example
 * const schedule = new DrainSchedule(clock, { balancerMs: 3_000, graceMs: 4_300 });
 * await clock.sleep(schedule.exitLeftMs);
 */
export class DrainSchedule {
    /** Monotonic time of its beginning, in milliseconds. */
    readonly startedAt: number;
    private readonly exitAt: number;
    private readonly finalAnswersAt: number;

    constructor(private readonly clock: Clock, { balancerMs, graceMs }: DrainLimits) {
        this.startedAt = clock.monotonic();
        this.exitAt = this.startedAt + balancerMs + graceMs;
        this.finalAnswersAt = Math.max(this.startedAt + balancerMs, this.exitAt - FINAL_ANSWERS_MS);
    }

    /** Time until the process exits whatever is running, in milliseconds. */
    get exitLeftMs(): number {
        return Math.max(0, this.exitAt - this.clock.monotonic());
    }

    /** Time until requests without an answer get a final one, in milliseconds. */
    get finalAnswersLeftMs(): number {
        return Math.max(0, this.finalAnswersAt - this.clock.monotonic());
    }
}
