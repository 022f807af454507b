import { Completion } from "../ticket/index.js";
import { WaitingTicket } from "../waiting/index.js";

/** What a pool is assumed to do until it was seen. */
const DEFAULT_SERVICE_MS = 3_000;
const DEFAULT_COST = 100;
const DEFAULT_FIRST_TOKEN_MS = 100;
const LEARN_WEIGHT = 0.05;
/** Mean deviations above the mean that nine in ten stay under. */
const CAUTION = 1.6;
/** Over this time arrivals are averaged, in milliseconds. */
const ARRIVAL_MEMORY_MS = 5_000;
/** The least share of the pool counted on for a tier that higher ones would fill. */
const LEAST_RESIDUAL = 0.02;

/** The learned speed of a pool: how long requests hold a slot, and how much work each tier brings. */
export class PoolOutlook {
    private serviceMs = DEFAULT_SERVICE_MS;
    private cost = DEFAULT_COST;
    private firstTokenMean = DEFAULT_FIRST_TOKEN_MS;
    private completions = 0;
    private firstTokenDeviation = 0;
    private readonly arrivals: number[] = [];
    private arrivedAt = 0;

    /** From sending to the first token, in milliseconds: what nine in ten stay under. */
    get firstTokenMs(): number {
        return this.firstTokenMean + CAUTION * this.firstTokenDeviation;
    }

    /** How long a request holds its slot on average, in milliseconds. */
    get meanServiceMs(): number {
        return this.serviceMs;
    }

    /** What a request costs on average, in tokens. */
    get meanCost(): number {
        return this.cost;
    }

    /** Counts the work that a new ticket brings. */
    learnArrival(waiting: WaitingTicket, now: number): void {
        this.fade(now);
        const { tier } = waiting.ticket;
        while (this.arrivals.length <= tier) this.arrivals.push(0);
        this.arrivals[tier] += waiting.cost / ARRIVAL_MEMORY_MS;
    }

    /** Learns from an answered request how long it held its slot and what it cost. */
    learnCompletion(completion: Completion, heldMs: number, cost: number): void {
        // The first few answers count as much as each other, so that the assumed figures are soon forgotten.
        const weight = Math.max(LEARN_WEIGHT, 1 / ++this.completions);
        this.serviceMs += weight * (heldMs - this.serviceMs);
        this.cost += weight * (cost - this.cost);
        if (completion.firstTokenMs === undefined) return;
        const difference = completion.firstTokenMs - this.firstTokenMean;
        this.firstTokenMean += weight * difference;
        this.firstTokenDeviation += weight * (Math.abs(difference) - this.firstTokenDeviation);
    }

    /**
     * Mean time until the next slot comes free while all are busy, in milliseconds.
     *
     * @param slots - The pool's usable slots.
     */
    releaseMs(slots: number): number {
        return this.serviceMs / Math.max(1, slots);
    }

    /**
     * How fast the pool works off what a tier brings, after what the tiers above it will bring meanwhile.
     *
     * @param slots - The pool's usable slots.
     * @returns Tokens of cost in a millisecond.
     */
    drainRate(tier: number, slots: number, now: number): number {
        this.fade(now);
        const all = Math.max(1, slots) * this.cost / this.serviceMs;
        const above = this.arrivals.slice(0, tier).reduce((sum, rate) => sum + rate, 0);
        return Math.max(LEAST_RESIDUAL * all, all - above);
    }

    private fade(now: number): void {
        const kept = Math.exp((this.arrivedAt - now) / ARRIVAL_MEMORY_MS);
        this.arrivedAt = now;
        for (let tier = 0; tier < this.arrivals.length; tier++) this.arrivals[tier] *= kept;
    }
}
