import { ClassName, PoolId, WorkspaceId } from "../../ids/index.js";

/** Whose answers are asked about. */
export interface LengthKey {
    readonly workspace: WorkspaceId;
    readonly className: ClassName;
    readonly pool: PoolId;
}

/** Buckets grow by this factor, so that a prediction is off by a quarter at the most. */
const BUCKET_GROWTH = 1.25;
const BUCKETS = 56;
/** Answers after which a histogram is halved, so that old habits fade. */
const HALVE_AT = 512;
const LEAST_SAMPLES = 8;
const DEFAULT_MOST_HISTOGRAMS = 5_000;
/** Of `maxTokens`, used until anything was learned. */
const DEFAULT_SHARE_OF_MAX = 0.5;

const MIDDLES = Array.from({ length: BUCKETS }, (_, bucket) => BUCKET_GROWTH ** (bucket + 0.5));

class LengthHistogram {
    private readonly counts = new Uint16Array(BUCKETS);
    private total = 0;
    private sum = 0;

    get samples(): number {
        return this.total;
    }

    add(tokens: number): void {
        const exact = Math.floor(Math.log(Math.max(1, tokens)) / Math.log(BUCKET_GROWTH));
        const bucket = Math.min(BUCKETS - 1, exact);
        this.counts[bucket]++;
        this.total++;
        this.sum += MIDDLES[bucket];
        if (this.total >= HALVE_AT) this.halve();
    }

    quantile(share: number): number {
        let seen = 0;
        for (let bucket = 0; bucket < BUCKETS; bucket++) {
            seen += this.counts[bucket];
            if (seen >= share * this.total) return MIDDLES[bucket];
        }
        return MIDDLES[BUCKETS - 1];
    }

    mean(): number {
        return this.sum / this.total;
    }

    private halve(): void {
        this.total = 0;
        this.sum = 0;
        for (let bucket = 0; bucket < BUCKETS; bucket++) {
            this.counts[bucket] >>= 1;
            this.total += this.counts[bucket];
            this.sum += this.counts[bucket] * MIDDLES[bucket];
        }
    }
}

/**
 * Learns how long answers are. Nobody knows an answer's length before its end, but a class of a workspace repeats
 * itself; one not seen yet borrows from its class in the pool, then from the pool.
 *
 * @example
 * estimator.learn(key, 180);
 * estimator.predictMean(key, 512);
 */
export class LengthEstimator {
    private readonly histograms = new Map<string, LengthHistogram>();

    /** @param mostHistograms - How many are kept; the longest unused are forgotten first. */
    constructor(private readonly mostHistograms: number = DEFAULT_MOST_HISTOGRAMS) {}

    /** Takes the length of a whole answer, in tokens. */
    learn(key: LengthKey, tokens: number): void {
        for (const name of namesOf(key)) this.touch(name).add(tokens);
    }

    /**
     * The mean length to expect.
     *
     * @param maxTokens - The most the answer may have.
     */
    predictMean(key: LengthKey, maxTokens: number): number {
        const histogram = this.find(key);
        return Math.min(maxTokens, histogram?.mean() ?? DEFAULT_SHARE_OF_MAX * maxTokens);
    }

    /**
     * The length that a share of the answers stays under.
     *
     * @param share - From 0 to 1.
     * @param maxTokens - The most the answer may have.
     */
    predictQuantile(key: LengthKey, share: number, maxTokens: number): number {
        const histogram = this.find(key);
        return Math.min(maxTokens, histogram?.quantile(share) ?? maxTokens);
    }

    private find(key: LengthKey): LengthHistogram | undefined {
        return namesOf(key).map(name => this.histograms.get(name))
            .find(histogram => histogram !== undefined && histogram.samples >= LEAST_SAMPLES);
    }

    private touch(name: string): LengthHistogram {
        const histogram = this.histograms.get(name) ?? new LengthHistogram();
        this.histograms.delete(name);
        this.histograms.set(name, histogram);
        if (this.histograms.size > this.mostHistograms) {
            this.histograms.delete(this.histograms.keys().next().value!);
        }
        return histogram;
    }
}

/** The narrowest first. */
function namesOf(key: LengthKey): readonly string[] {
    const wide = key.pool;
    const middle = `${wide}\n${key.className}`;
    return [`${middle}\n${key.workspace}`, middle, wide];
}
