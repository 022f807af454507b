/** The rate at which each tier brings work, as an exponentially decaying average. */
export class ArrivalRates {
    private readonly rates: number[] = [];
    private startedAt: number | undefined;
    private decayedAt = 0;

    /** @param timeConstantMs - The time constant of the average, in milliseconds. */
    constructor(private readonly timeConstantMs: number) {}

    /** Adds the cost of a new ticket, in tokens. */
    add(tier: number, cost: number, now: number): void {
        this.decay(now);
        while (this.rates.length <= tier) this.rates.push(0);
        this.rates[tier] += cost / this.timeConstantMs;
    }

    /**
     * Returns the rate at which all tiers above the given one bring work.
     *
     * @returns Tokens of cost per millisecond.
     */
    rateAbove(tier: number, now: number): number {
        this.decay(now);
        let sum = 0;
        for (let higher = 0; higher < tier && higher < this.rates.length; higher++) sum += this.rates[higher];
        const coverage = 1 - Math.exp((this.startedAt! - now) / this.timeConstantMs);
        return coverage > 0 ? sum / coverage : sum;
    }

    private decay(now: number): void {
        this.startedAt ??= now;
        const factor = Math.exp((this.decayedAt - now) / this.timeConstantMs);
        this.decayedAt = now;
        for (let tier = 0; tier < this.rates.length; tier++) this.rates[tier] *= factor;
    }
}
