import { UpstreamLoad } from "../load/index.js";

/** When an upstream counts as a straggler. */
export interface StragglerBounds {
    /** Ejected when its time between tokens is this many times the pool's median. */
    readonly ejectFactor: number;
    /** Taken back when a probe shows less than this many times the median. */
    readonly restoreFactor: number;
    /** The largest share of a pool that may be ejected: a slow pool is better than none. */
    readonly mostShare: number;
    /** How often the pace must have been seen. */
    readonly leastSamples: number;
}

/** Twice the median cannot come from a full batch alone; a quarter of the pool at the most is taken out. */
export const DEFAULT_STRAGGLER_BOUNDS: StragglerBounds = {
    ejectFactor: 2,
    restoreFactor: 1.5,
    mostShare: 0.25,
    leastSamples: 4,
};

/**
 * The pool's median time between tokens.
 *
 * @returns Milliseconds; undefined when no member's pace is known.
 */
export function medianTokenMs(loads: readonly UpstreamLoad[]): number | undefined {
    const paces = loads.filter(load => load.upstream.isGrantable && !load.ejected && load.tokenMs !== undefined)
        .map(load => load.tokenMs!)
        .sort((a, b) => a - b);
    return paces[paces.length >> 1];
}

/** Finds slow upstreams. */
export abstract class StragglerPolicy {
    /**
     * Ejects members and takes them back.
     *
     * @param now - Monotonic time, in milliseconds.
     * @returns The members whose work should go on elsewhere: ejected just now, or still slow after a probe.
     */
    abstract review(loads: readonly UpstreamLoad[], now: number): readonly UpstreamLoad[];
}

/** Baseline: leaves every upstream in. */
export class NoStragglerPolicy extends StragglerPolicy {
    review(): readonly UpstreamLoad[] {
        return [];
    }
}

/**
 * Compares each member's observed pace with the pool's median. A straggler keeps reporting a light load, since it
 * is slow and not full, and so draws more work than its peers; its own reports never show the fault.
 */
export class MedianStragglerPolicy extends StragglerPolicy {
    constructor(private readonly bounds: StragglerBounds = DEFAULT_STRAGGLER_BOUNDS) {
        super();
    }

    review(loads: readonly UpstreamLoad[], now: number): readonly UpstreamLoad[] {
        const median = medianTokenMs(loads);
        if (median === undefined) return [];
        const grantable = loads.filter(load => load.upstream.isGrantable);
        const ejected = grantable.filter(load => load.ejected);
        const stillSlow = ejected.filter(load => this.hasFailedProbe(load, median, now));
        const room = Math.floor(grantable.length * this.bounds.mostShare)
            - grantable.filter(load => load.ejected).length;
        const slow = grantable.filter(load => this.isSlow(load, median)).sort((a, b) => b.tokenMs! - a.tokenMs!);
        const newlyEjected = slow.slice(0, Math.max(0, room));
        for (const load of newlyEjected) load.eject(now);
        return [...newlyEjected, ...stillSlow];
    }

    private isSlow(load: UpstreamLoad, median: number): boolean {
        if (load.ejected || load.tokenMs === undefined || load.paceCount < this.bounds.leastSamples) return false;
        return load.tokenMs > this.bounds.ejectFactor * median;
    }

    /** Takes a member back when its probe was quick enough. */
    private hasFailedProbe(load: UpstreamLoad, median: number, now: number): boolean {
        if (load.tokenMs === undefined) return false;
        if (load.tokenMs <= this.bounds.restoreFactor * median) load.restore();
        else load.eject(now);
        return load.ejected;
    }
}
