import { PoolId, UpstreamId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** Beyond this count the back-offs that end first are forgotten. */
const MAX_REMEMBERED_BACK_OFFS = 1_024;
/** Maximum duration of a back-off, in milliseconds: after it one request learns whether it still applies. */
const MAX_BACK_OFF_MS = 3_600_000;

/** A back-off that an upstream asked this host for. */
export interface BackOff {
    readonly upstream: UpstreamId;
    /** Time until its end, in milliseconds. */
    readonly leftMs: number;
}

interface KnownBackOff {
    readonly pool: PoolId;
    /** Monotonic times of the answer that asked for it and of its end, in milliseconds. */
    readonly askedAt: number;
    readonly until: number;
}

/**
 * The back-offs that upstreams asked this host for in their answers. A later answer can prolong a back-off; none ends it
 * early, since its request may have been sent before.
 *
 * @example
 * backOffs.record(pool, upstream, 3_000);
 * if (backOffs.find(upstream)) return;
 */
export class BackOffs {
    private readonly known = new Map<UpstreamId, KnownBackOff>();

    constructor(private readonly clock: Pick<Clock, "monotonic">) {}

    /** Number of upstreams that are backed off from. */
    get size(): number {
        this.dropEnded();
        return this.known.size;
    }

    /**
     * Records a back-off.
     *
     * @param durationMs - Requested duration, in milliseconds; limited to an hour.
     * @returns Whether that is a change.
     */
    record(pool: PoolId, upstream: UpstreamId, durationMs: number): boolean {
        const now = this.clock.monotonic();
        const until = now + Math.min(durationMs, MAX_BACK_OFF_MS);
        if (until <= Math.max(now, this.known.get(upstream)?.until ?? 0)) return false;
        this.known.set(upstream, { pool, askedAt: now, until });
        if (this.known.size > MAX_REMEMBERED_BACK_OFFS) this.dropFirstToEnd();
        return true;
    }

    /** Returns the current back-off from an upstream, with the time since it was asked for in milliseconds. */
    find(upstream: UpstreamId): { readonly leftMs: number; readonly ageMs: number; } | undefined {
        const known = this.known.get(upstream);
        const now = this.clock.monotonic();
        if (!known || known.until <= now) return undefined;
        return { leftMs: known.until - now, ageMs: now - known.askedAt };
    }

    /** Returns the current back-offs from a pool's upstreams. */
    list(pool: PoolId): readonly BackOff[] {
        if (this.known.size === 0) return [];
        this.dropEnded();
        const now = this.clock.monotonic();
        return [...this.known]
            .filter(([, known]) => known.pool === pool)
            .map(([upstream, { until }]) => ({ upstream, leftMs: until - now }));
    }

    /** Forgets an upstream that has ended or restarted. */
    forget(upstream: UpstreamId): void {
        this.known.delete(upstream);
    }

    private dropEnded(): void {
        const now = this.clock.monotonic();
        for (const [upstream, { until }] of this.known) {
            if (until <= now) this.known.delete(upstream);
        }
    }

    private dropFirstToEnd(): void {
        const [first] = [...this.known].reduce((one, other) => other[1].until < one[1].until ? other : one);
        this.known.delete(first);
    }
}
