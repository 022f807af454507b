/** The work that each tier brings, averaged over a time. */
export class ArrivalRates {
    private readonly rates: number[] = [];
    private startedAt: number | undefined;
    private fadedAt = 0;

    /** @param memoryMs - Over how long it averages, in milliseconds. */
    constructor(private readonly memoryMs: number) {}

    /** Counts work of a tier. */
    add(tier: number, cost: number, now: number): void {
        this.fade(now);
        while (this.rates.length <= tier) this.rates.push(0);
        this.rates[tier] += cost / this.memoryMs;
    }

    /**
     * What the tiers above one bring.
     *
     * @returns Tokens of cost in a millisecond.
     */
    above(tier: number, now: number): number {
        this.fade(now);
        let sum = 0;
        for (let higher = 0; higher < tier && higher < this.rates.length; higher++) sum += this.rates[higher];
        const seen = 1 - Math.exp((this.startedAt! - now) / this.memoryMs);
        return seen > 0 ? sum / seen : sum;
    }

    private fade(now: number): void {
        this.startedAt ??= now;
        const kept = Math.exp((this.fadedAt - now) / this.memoryMs);
        this.fadedAt = now;
        for (let tier = 0; tier < this.rates.length; tier++) this.rates[tier] *= kept;
    }
}
