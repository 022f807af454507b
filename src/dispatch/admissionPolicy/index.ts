import { WaitingTicket } from "../waitingTicket/index.js";

/** The wait forecast of a ticket. */
export interface AdmissionContext {
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** The predicted wait for a slot from now on, in milliseconds. */
    readonly waitMs: number;
    /** Typical time from sending a request to its first token, in milliseconds. */
    readonly firstTokenMs: number;
}

/** A ticket evaluated within this time of its arrival counts as new: sums of fractional milliseconds are not exact. */
const SAME_INSTANT_MS = 0.001;

/** Predicts by how much a ticket's first token misses its target. */
export abstract class AdmissionPolicy {
    /**
     * Evaluates a new or a waiting ticket.
     *
     * @returns By how much it would be late, in milliseconds; zero or less when it may wait.
     */
    abstract expectedLatenessMs(waiting: WaitingTicket, context: AdmissionContext): number;
}

/** Baseline: every ticket may wait until its wait limit. */
export class AcceptAllAdmission extends AdmissionPolicy {
    expectedLatenessMs(): number {
        return 0;
    }
}

/** Safety margins of the prediction. */
export interface AdmissionMargins {
    /** A new ticket is refused when its predicted time exceeds this share of its target. */
    readonly newShare: number;
    /**
     * A waiting ticket is shed when its predicted time exceeds this share of its target; it has queued already, so it
     * is only shed when it will miss.
     */
    readonly waitingShare: number;
}

/**
 * New tickets are refused at 90% of the target, since the prediction is a mean and about half of the actual waits are
 * longer.
 */
export const DEFAULT_ADMISSION_MARGINS: AdmissionMargins = { newShare: 0.9, waitingShare: 1 };

/**
 * Refuses tickets that are predicted to miss their target: an early refusal lets the caller go elsewhere, and the slot
 * serves another request.
 */
export class PredictedWaitAdmission extends AdmissionPolicy {
    constructor(private readonly margins: AdmissionMargins = DEFAULT_ADMISSION_MARGINS) {
        super();
    }

    expectedLatenessMs(waiting: WaitingTicket, context: AdmissionContext): number {
        const { ticket } = waiting;
        // The caller of a resumed answer has part of it: a refusal now would break the answer in the middle.
        if (ticket.resumeOffset > 0) return 0;
        const ageMs = context.now - waiting.arrivedAt;
        const isNew = ageMs <= ticket.ageMs + SAME_INSTANT_MS;
        const share = isNew ? this.margins.newShare : this.margins.waitingShare;
        const grantMs = ageMs + context.waitMs;
        const targetMissMs = grantMs + context.firstTokenMs - share * ticket.firstTokenMs;
        return Math.max(targetMissMs, grantMs - ticket.maxWaitMs);
    }
}

/** A new ticket is refused at once when its predicted wait exceeds this many times its maximum wait. */
const MAX_PREDICTED_WAITS = 2;

/**
 * Refuses a new ticket at once only when its predicted wait is far beyond its maximum wait, and lets all others wait
 * until they are certain to miss their target.
 *
 * A predicted wait is a mean over an unknown future: during a burst it refuses nearly all of a low tier, much of which
 * would have been served once the burst had passed. Waiting occupies no slot, so a ticket is only refused when even a
 * slot granted now would be too late.
 */
export class DeadlineAdmission extends AdmissionPolicy {
    expectedLatenessMs({ ticket, arrivedAt }: WaitingTicket, { now, waitMs, firstTokenMs }: AdmissionContext): number {
        // The caller of a resumed answer has part of it: a refusal now would break the answer in the middle.
        if (ticket.resumeOffset > 0) return 0;
        const ageMs = now - arrivedAt;
        const isNew = ageMs <= ticket.ageMs + SAME_INSTANT_MS;
        if (isNew) return ageMs + waitMs - MAX_PREDICTED_WAITS * ticket.maxWaitMs;
        return Math.max(ageMs + firstTokenMs - ticket.firstTokenMs, ageMs - ticket.maxWaitMs);
    }
}
