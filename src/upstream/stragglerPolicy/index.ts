import { UpstreamLoad } from "../upstreamLoad/index.js";

/** Thresholds for ejecting and readmitting stragglers. */
export interface StragglerThresholds {
    /** Ejects a member whose time between tokens exceeds the pool's median by this factor. */
    readonly ejectFactor: number;
    /** Readmits a member whose probe shows at most this multiple of the median. */
    readonly readmitFactor: number;
    /** Maximum share of a pool that may be ejected: a slow pool is better than none. */
    readonly maxEjectedShare: number;
    /** Minimum number of observations of a member's time between tokens. */
    readonly minSamples: number;
}

/** A full batch alone cannot make a member twice as slow as the median; at most a quarter of the pool is ejected. */
export const DEFAULT_STRAGGLER_THRESHOLDS: StragglerThresholds = {
    ejectFactor: 2,
    readmitFactor: 1.5,
    maxEjectedShare: 0.25,
    minSamples: 4,
};

/**
 * Returns the pool's median time between tokens.
 *
 * @returns Milliseconds; undefined if no member's time between tokens is known.
 */
export function medianTokenMs(loads: readonly UpstreamLoad[]): number | undefined {
    const sortedTokenMs = loads.filter(load => load.upstream.isGrantable && !load.ejected && load.tokenMs !== undefined)
        .map(load => load.tokenMs!)
        .sort((a, b) => a - b);
    return sortedTokenMs[sortedTokenMs.length >> 1];
}

/** Detects slow upstreams. */
export abstract class StragglerPolicy {
    /**
     * Ejects and readmits members.
     *
     * @param now - Monotonic time, in milliseconds.
     * @returns The members whose work should continue elsewhere: newly ejected, or still slow after a probe.
     */
    abstract review(loads: readonly UpstreamLoad[], now: number): readonly UpstreamLoad[];
}

/** Baseline: ejects no upstream. */
export class NoStragglerPolicy extends StragglerPolicy {
    review(): readonly UpstreamLoad[] {
        return [];
    }
}

/**
 * Compares each member's observed time between tokens with the pool's median. A straggler keeps reporting a light load,
 * since it is slow and not full, and so attracts more work than its peers; its own reports never show the fault.
 */
export class MedianStragglerPolicy extends StragglerPolicy {
    constructor(private readonly bounds: StragglerThresholds = DEFAULT_STRAGGLER_THRESHOLDS) {
        super();
    }

    review(loads: readonly UpstreamLoad[], now: number): readonly UpstreamLoad[] {
        const median = medianTokenMs(loads);
        if (median === undefined) return [];
        const grantable = loads.filter(load => load.upstream.isGrantable);
        const ejected = grantable.filter(load => load.ejected);
        const stillSlow = ejected.filter(load => this.evaluateProbe(load, median, now));
        const maxNewEjections = Math.floor(grantable.length * this.bounds.maxEjectedShare)
            - grantable.filter(load => load.ejected).length;
        const slow = grantable.filter(load => this.isSlow(load, median)).sort((a, b) => b.tokenMs! - a.tokenMs!);
        const newlyEjected = slow.slice(0, Math.max(0, maxNewEjections));
        for (const load of newlyEjected) load.eject(now);
        return [...newlyEjected, ...stillSlow];
    }

    private isSlow(load: UpstreamLoad, median: number): boolean {
        if (load.ejected || load.tokenMs === undefined || load.tokenMsSamples < this.bounds.minSamples) return false;
        return load.tokenMs > this.bounds.ejectFactor * median;
    }

    /**
     * Readmits an ejected member whose probe was fast enough, and ejects it again otherwise. Returns whether a probe
     * was observed and the member is still ejected.
     */
    private evaluateProbe(load: UpstreamLoad, median: number, now: number): boolean {
        if (load.tokenMs === undefined) return false;
        if (load.tokenMs <= this.bounds.readmitFactor * median) load.readmit();
        else load.eject(now);
        return load.ejected;
    }
}
