/** Limits on how long an answer may be held until its usage is durable. */
export interface HoldLimits {
    /** Time left until the answer's latency objective, in milliseconds; 0 or less when it is late already. */
    readonly objectiveLeftMs: number;
    /** Time left until the caller stops waiting, in milliseconds. */
    readonly deadlineLeftMs: number;
}

/** Holds back the ends of answers until their usage would survive a loss of power at all hosts. */
export abstract class UsageDurability {
    /** Settles when usage up to a position is durable, or when the answer must not be held any longer. */
    abstract waitDurable(position: number, limits: HoldLimits): Promise<void>;
}

/** Maximum time for which any answer is held, in milliseconds. */
const MAX_HOLD_MS = 250;
/** Maximum time for which an answer that has missed its objective is held, in milliseconds. */
const MAX_LATE_HOLD_MS = 50;

/**
 * Returns for how long an answer may be held: not beyond its objective, and not for more than half of the time that its caller still waits.
 *
 * @returns The time, in milliseconds.
 * @example
 * computeMaxHoldMs({ objectiveLeftMs: 300, deadlineLeftMs: 900 }); // 250
 */
export function computeMaxHoldMs({ objectiveLeftMs, deadlineLeftMs }: HoldLimits): number {
    const objectiveMs = objectiveLeftMs > 0 ? objectiveLeftMs : MAX_LATE_HOLD_MS;
    return Math.max(0, Math.min(MAX_HOLD_MS, objectiveMs, deadlineLeftMs / 2));
}
