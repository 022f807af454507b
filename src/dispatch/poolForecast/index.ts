import { ArrivalRates } from "../arrivalRates/index.js";
import { Completion } from "../ticket/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** Assumed averages until the first completion. */
const INITIAL_SERVICE_MS = 3_000;
const INITIAL_COST_TOKENS = 100;
const INITIAL_FIRST_TOKEN_MS = 100;
const MIN_SAMPLE_WEIGHT = 0.05;
/** Mean absolute deviations above the mean that 90% of the values stay below. */
const P90_MEAN_DEVIATIONS = 1.6;
/** Time constants of the arrival averages: the current rate, the onset of an overload, and the long-term rate. */
const RECENT_RATE_MS = 5_000;
const ONSET_RATE_MS = 1_500;
const LONG_TERM_RATE_MS = 120_000;
/** A burst lasts while the tiers above bring at least this share of the pool's capacity. */
const BURST_LOAD_RATIO = 0.9;
/** A tier is overloaded when it and those above bring this share of the pool's capacity. */
const OVERLOAD_RATIO = 1.2;
/** The expected remaining length of a burst, as a share of its length so far. */
const BURST_REMAINDER_RATIO = 0.25;
/** The minimum share of capacity assumed to remain for a tier that higher ones would fill. */
const MIN_RESIDUAL_RATIO = 0.02;

/** A period in which the tiers above one bring about the pool's whole capacity or more. */
interface Burst {
    /** Monotonic time, in milliseconds. */
    readonly since: number;
    /** Long-term arrival rate of the tiers above when the burst began, in tokens of cost per millisecond. */
    readonly longTermRateAbove: number;
}

/** Estimates the waits in a pool from the service times and arrival rates that it has observed. */
export class PoolForecast {
    private averageServiceMs = INITIAL_SERVICE_MS;
    private averageCost = INITIAL_COST_TOKENS;
    private firstTokenMeanMs = INITIAL_FIRST_TOKEN_MS;
    private completions = 0;
    private firstTokenDeviationMs = 0;
    private readonly recentRates = new ArrivalRates(RECENT_RATE_MS);
    private readonly onsetRates = new ArrivalRates(ONSET_RATE_MS);
    private readonly longTermRates = new ArrivalRates(LONG_TERM_RATE_MS);
    private readonly bursts = new Map<number, Burst>();

    /** Time from sending to the first token that 90% of the requests stay below, in milliseconds. */
    get firstTokenP90Ms(): number {
        return this.firstTokenMeanMs + P90_MEAN_DEVIATIONS * this.firstTokenDeviationMs;
    }

    /** Mean time that a request holds its slot, in milliseconds. */
    get meanServiceMs(): number {
        return this.averageServiceMs;
    }

    /** Mean cost of a request, in tokens. */
    get meanCost(): number {
        return this.averageCost;
    }

    /** Adds the cost of a new ticket to the arrival rates. */
    recordArrival(waiting: WaitingTicket, now: number): void {
        this.recentRates.add(waiting.ticket.tier, waiting.cost, now);
        this.onsetRates.add(waiting.ticket.tier, waiting.cost, now);
        this.longTermRates.add(waiting.ticket.tier, waiting.cost, now);
    }

    /**
     * Updates the averages with an answered request.
     *
     * @param heldMs - How long it held its slot, in milliseconds.
     * @param cost - Its actual cost, in tokens.
     */
    recordCompletion(completion: Completion, heldMs: number, cost: number): void {
        // The first few completions are weighted equally, so that the assumed averages soon lose their effect.
        const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / ++this.completions);
        this.averageServiceMs += weight * (heldMs - this.averageServiceMs);
        this.averageCost += weight * (cost - this.averageCost);
        if (completion.firstTokenMs === undefined) return;
        const difference = completion.firstTokenMs - this.firstTokenMeanMs;
        this.firstTokenMeanMs += weight * difference;
        this.firstTokenDeviationMs += weight * (Math.abs(difference) - this.firstTokenDeviationMs);
    }

    /**
     * Returns the mean time until the next slot becomes free while all are busy, in milliseconds.
     *
     * @param slots - The pool's usable slots.
     */
    slotReleaseMs(slots: number): number {
        return this.averageServiceMs / slotsOrOne(slots);
    }

    /**
     * Predicts how long a ticket of a tier waits for the cost queued ahead and for what the tiers above bring
     * meanwhile.
     *
     * While the tiers above bring more than the pool's capacity, no lower tier is served, and a prediction from that
     * rate alone would refuse a patient class as soon as a burst begins. Of the bursts that have lasted for some time,
     * about one in five ends within a quarter of that time; the pool then has the capacity that the long-term rate
     * leaves. The prediction counts on that chance, since a waiting ticket occupies no slot.
     *
     * @param costAhead - The predicted cost of the tickets granted before, in tokens.
     * @param slots - The pool's usable slots.
     * @returns The wait in milliseconds.
     */
    predictWaitMs(tier: number, costAhead: number, slots: number, now: number): number {
        const capacity = this.capacityPerMs(slots);
        const minResidual = MIN_RESIDUAL_RATIO * capacity;
        const rateAbove = this.recentRates.rateAbove(tier, now);
        const waitMs = costAhead / Math.max(minResidual, capacity - rateAbove);
        const burst = this.trackBurst(tier, rateAbove > BURST_LOAD_RATIO * capacity, now);
        if (!burst) return waitMs;
        const afterBurstMs = BURST_REMAINDER_RATIO * (now - burst.since)
            + costAhead / Math.max(minResidual, capacity - burst.longTermRateAbove);
        return Math.min(waitMs, afterBurstMs);
    }

    /**
     * Whether a tier and those above it bring far more than the pool's capacity, so that some of their requests must be
     * refused.
     */
    isOverloaded(tier: number, slots: number, now: number): boolean {
        return this.onsetRates.rateAbove(tier + 1, now) > OVERLOAD_RATIO * this.capacityPerMs(slots);
    }

    /** Whether the tiers above one bring about the pool's whole capacity or more. */
    isSaturatedAbove(tier: number, slots: number, now: number): boolean {
        return this.recentRates.rateAbove(tier, now) > BURST_LOAD_RATIO * this.capacityPerMs(slots);
    }

    /** Returns the pool's capacity, in tokens of cost per millisecond. */
    private capacityPerMs(slots: number): number {
        return slotsOrOne(slots) * this.averageCost / this.averageServiceMs;
    }

    /** Records when the current burst above a tier began, and the long-term rate at that time. */
    private trackBurst(tier: number, isBurst: boolean, now: number): Burst | undefined {
        if (!isBurst) {
            this.bursts.delete(tier);
            return undefined;
        }
        const burst = this.bursts.get(tier)
            ?? { since: now, longTermRateAbove: this.longTermRates.rateAbove(tier, now) };
        this.bursts.set(tier, burst);
        return burst;
    }
}

/**
 * Returns 1 for a pool without usable slots. Fractions come from upstreams that limit their request rate, and are kept.
 */
function slotsOrOne(slots: number): number {
    return slots > 0 ? slots : 1;
}
