import { ClassName, PoolId, WorkspaceId } from "../../ids/index.js";

/** The group of requests whose answer lengths are predicted. */
export interface LengthKey {
    readonly workspace: WorkspaceId;
    readonly className: ClassName;
    readonly pool: PoolId;
}

/** Growth factor of the bucket bounds; it limits the error of a prediction to 25%. */
const BUCKET_GROWTH = 1.25;
const BUCKET_COUNT = 56;
/** A histogram is halved when it reaches this many samples, so that older ones lose weight. */
const HALVE_AT_SAMPLES = 512;
const MIN_SAMPLES = 8;
const DEFAULT_MAX_HISTOGRAMS = 5_000;
/** The share of `maxTokens` predicted while there are not enough samples. */
const DEFAULT_LENGTH_RATIO = 0.5;

const BUCKET_MIDPOINTS = Array.from({ length: BUCKET_COUNT }, (_, bucket) => BUCKET_GROWTH ** (bucket + 0.5));

/** A histogram of answer lengths with exponentially growing buckets. */
class LengthHistogram {
    private readonly counts = new Uint16Array(BUCKET_COUNT);
    private total = 0;
    private sum = 0;

    get samples(): number {
        return this.total;
    }

    add(tokens: number): void {
        const exact = Math.floor(Math.log(Math.max(1, tokens)) / Math.log(BUCKET_GROWTH));
        const bucket = Math.min(BUCKET_COUNT - 1, exact);
        this.counts[bucket]++;
        this.total++;
        this.sum += BUCKET_MIDPOINTS[bucket];
        if (this.total >= HALVE_AT_SAMPLES) this.halve();
    }

    quantile(share: number): number {
        let cumulative = 0;
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            cumulative += this.counts[bucket];
            if (cumulative >= share * this.total) return BUCKET_MIDPOINTS[bucket];
        }
        return BUCKET_MIDPOINTS[BUCKET_COUNT - 1];
    }

    mean(): number {
        return this.sum / this.total;
    }

    private halve(): void {
        this.total = 0;
        this.sum = 0;
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            this.counts[bucket] >>= 1;
            this.total += this.counts[bucket];
            this.sum += this.counts[bucket] * BUCKET_MIDPOINTS[bucket];
        }
    }
}

/**
 * Predicts answer lengths from past answers. The length of an answer is unknown until its end, but the answers of one
 * class of a workspace are alike. A combination with too few samples uses those of its class in the pool, then those of
 * the pool.
 *
 * @example
 * estimator.record(key, 180);
 * estimator.predictMean(key, 512);
 */
export class LengthEstimator {
    private readonly histograms = new Map<string, LengthHistogram>();

    /** @param maxHistograms - Maximum number of histograms kept; the least recently updated one is dropped first. */
    constructor(private readonly maxHistograms: number = DEFAULT_MAX_HISTOGRAMS) {}

    /** Records the length of a complete answer, in tokens. */
    record(key: LengthKey, tokens: number): void {
        for (const name of histogramNames(key)) this.findOrCreate(name).add(tokens);
    }

    /**
     * Returns the expected mean length, in tokens.
     *
     * @param maxTokens - Maximum length of the answer.
     */
    predictMean(key: LengthKey, maxTokens: number): number {
        const histogram = this.find(key);
        return Math.min(maxTokens, histogram?.mean() ?? DEFAULT_LENGTH_RATIO * maxTokens);
    }

    /**
     * Returns the length that a share of the answers stays below, in tokens.
     *
     * @param share - From 0 to 1.
     * @param maxTokens - Maximum length of the answer.
     */
    predictQuantile(key: LengthKey, share: number, maxTokens: number): number {
        const histogram = this.find(key);
        return Math.min(maxTokens, histogram?.quantile(share) ?? maxTokens);
    }

    private find(key: LengthKey): LengthHistogram | undefined {
        return histogramNames(key).map(name => this.histograms.get(name))
            .find(histogram => histogram !== undefined && histogram.samples >= MIN_SAMPLES);
    }

    private findOrCreate(name: string): LengthHistogram {
        const histogram = this.histograms.get(name) ?? new LengthHistogram();
        this.histograms.delete(name);
        this.histograms.set(name, histogram);
        if (this.histograms.size > this.maxHistograms) {
            this.histograms.delete(this.histograms.keys().next().value!);
        }
        return histogram;
    }
}

/** Returns the keys of the histograms for a request, the most specific first. */
function histogramNames(key: LengthKey): readonly string[] {
    const poolKey = key.pool;
    const classKey = `${poolKey}\n${key.className}`;
    return [`${classKey}\n${key.workspace}`, classKey, poolKey];
}
