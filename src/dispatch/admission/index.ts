import { WaitingTicket } from "../waiting/index.js";

/** What is known of a ticket's prospects. */
export interface AdmissionContext {
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** How long it will probably wait for a slot from now on, in milliseconds. */
    readonly waitMs: number;
    /** From sending to the first token, as a rule, in milliseconds. */
    readonly firstTokenMs: number;
}

/** A ticket judged in the moment of its arrival is new; sums of fractions of a millisecond are not exact. */
const SAME_MOMENT_MS = 0.001;

/** Says how far a ticket's first token is expected to miss its target. */
export abstract class AdmissionPolicy {
    /**
     * Judges a new ticket or one that waits already.
     *
     * @returns By how much it would be late, in milliseconds; zero or less: it may wait.
     */
    abstract expectedLatenessMs(waiting: WaitingTicket, context: AdmissionContext): number;
}

/** Baseline: everything may wait until its bound. */
export class AcceptAllAdmission extends AdmissionPolicy {
    expectedLatenessMs(): number {
        return 0;
    }
}

/** How cautious the prediction is. */
export interface AdmissionMargins {
    /** A new ticket is refused when its predicted time is more than this share of its target. */
    readonly newShare: number;
    /** A waiting ticket has queued for a while already: it is shed only when it will miss. */
    readonly waitingShare: number;
}

/** A mean wait is refused at nine tenths of the target, since half of the real ones are longer. */
export const DEFAULT_ADMISSION_MARGINS: AdmissionMargins = { newShare: 0.9, waitingShare: 1 };

/** Refuses what would miss its target: an early refusal lets the caller go elsewhere, and the slot serves another. */
export class PredictedWaitAdmission extends AdmissionPolicy {
    constructor(private readonly margins: AdmissionMargins = DEFAULT_ADMISSION_MARGINS) {
        super();
    }

    expectedLatenessMs(waiting: WaitingTicket, context: AdmissionContext): number {
        const { ticket } = waiting;
        // The caller of a resumed answer has part of it: a refusal now would break the answer in the middle.
        if (ticket.resumeOffset > 0) return 0;
        const ageMs = context.now - waiting.arrivedAt;
        const isNew = ageMs <= ticket.ageMs + SAME_MOMENT_MS;
        const share = isNew ? this.margins.newShare : this.margins.waitingShare;
        const startMs = ageMs + context.waitMs;
        const targetMissMs = startMs + context.firstTokenMs - share * ticket.firstTokenMs;
        return Math.max(targetMissMs, startMs - ticket.maxWaitMs);
    }
}

/** How many times its longest wait a new ticket may be predicted to wait before it is refused at once. */
const HOPELESS_WAITS = 2;

/**
 * Refuses at once only what has no hope, and lets the rest wait until it misses its target for certain.
 *
 * A prediction of the wait is a mean over an unknown future: while a burst lasts, it refuses nearly all of a low tier, of which
 * much would have been served once the burst had passed. Waiting costs nobody a slot, so that a ticket is given up when
 * even a slot at this moment would come too late.
 */
export class LastMomentAdmission extends AdmissionPolicy {
    expectedLatenessMs({ ticket, arrivedAt }: WaitingTicket, { now, waitMs, firstTokenMs }: AdmissionContext): number {
        // The caller of a resumed answer has part of it: a refusal now would break the answer in the middle.
        if (ticket.resumeOffset > 0) return 0;
        const ageMs = now - arrivedAt;
        const isNew = ageMs <= ticket.ageMs + SAME_MOMENT_MS;
        if (isNew) return ageMs + waitMs - HOPELESS_WAITS * ticket.maxWaitMs;
        return Math.max(ageMs + firstTokenMs - ticket.firstTokenMs, ageMs - ticket.maxWaitMs);
    }
}
