import { PoolId, UpstreamId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { UpstreamTarget } from "../../upstream/index.js";

/** A pool counts as lost when this many of its upstreams are, and is restored when this many have been reached again. */
const UPSTREAMS_FOR_POOL = 2;
/** Number of successful probes in a row that restore a path, and minimum time between two that count, in milliseconds. */
const PASSES_TO_RESTORE = 2;
const MIN_PASS_INTERVAL_MS = 300;
/** Minimum time for which a path counts as lost, in milliseconds; doubles each time that it is lost again soon. */
const MIN_HOLD_MS = 1_000;
const MAX_HOLD_MS = 8_000;
/** Time after a restoration from which the minimum applies again, in milliseconds. */
const STABLE_MS = 10_000;

interface LostPath {
    readonly target: UpstreamTarget;
    /** Monotonic time of the loss, in milliseconds. */
    readonly lostAt: number;
    /** Successful probes in a row; undefined before the first probe. */
    passes: number | undefined;
    passedAt: number;
}

interface PoolPaths {
    readonly lost: Map<UpstreamId, LostPath>;
    /** Monotonic times in milliseconds: first of the present losses, last restoration, and last new connection to an upstream not lost. */
    lostAt: number;
    restoredAt: number;
    connectedAt: number;
    holdMs: number;
}

/**
 * The paths to upstreams that this host has lost while other hosts have theirs, with hysteresis: paths that come and go are used again
 * later each time.
 *
 * @example
 * table.recordLost(target);
 * if (table.isLost(target)) return sendThroughRelay(call);
 */
export class PathTable {
    private readonly pools = new Map<PoolId, PoolPaths>();
    /** Monotonic times at which single paths were restored, in milliseconds. */
    private readonly restoredAt = new Map<UpstreamId, number>();

    constructor(private readonly clock: Clock) {}

    /** Number of upstreams whose paths are lost. */
    get size(): number {
        return [...this.pools.values()].reduce((sum, { lost }) => sum + lost.size, 0);
    }

    /** Lists the upstreams whose paths are lost. */
    listLost(): UpstreamTarget[] {
        return [...this.pools.values()].flatMap(({ lost }) => [...lost.values()].map(({ target }) => target));
    }

    /** Whether requests to an upstream should go another way. */
    isLost({ pool, upstream }: UpstreamTarget): boolean {
        const paths = this.pools.get(pool);
        return paths !== undefined && (paths.lost.has(upstream) || isWhollyLost(paths));
    }

    /** Whether the path to an upstream is lost, or was at some time since a monotonic time in milliseconds. */
    hadLost(target: UpstreamTarget, since: number): boolean {
        return this.isLost(target) || (this.restoredAt.get(target.upstream) ?? Number.NEGATIVE_INFINITY) >= since;
    }

    /** Records that other hosts reach an upstream that this one does not. Returns whether that is new. */
    recordLost(target: UpstreamTarget): boolean {
        const now = this.clock.monotonic();
        const paths = this.pathsOf(target.pool);
        if (paths.lost.has(target.upstream)) return false;
        if (paths.lost.size === 0) {
            paths.lostAt = now;
            const isSoon = now - paths.restoredAt < STABLE_MS;
            paths.holdMs = isSoon ? Math.min(MAX_HOLD_MS, 2 * paths.holdMs) : MIN_HOLD_MS;
        }
        paths.lost.set(target.upstream, { target, lostAt: now, passes: undefined, passedAt: 0 });
        return true;
    }

    /** Records that a new connection to an upstream has been opened from this host. */
    recordConnection({ pool, upstream }: UpstreamTarget): void {
        const paths = this.pools.get(pool);
        if (paths && !paths.lost.has(upstream)) paths.connectedAt = this.clock.monotonic();
    }

    /**
     * Records a probe of a lost path.
     *
     * @returns The upstreams whose paths are used again.
     */
    recordProbe({ pool, upstream }: UpstreamTarget, isReached: boolean): UpstreamTarget[] {
        const paths = this.pools.get(pool);
        const path = paths?.lost.get(upstream);
        if (!paths || !path) return [];
        const now = this.clock.monotonic();
        if (!isReached) path.passes = 0;
        else if (now - path.passedAt >= MIN_PASS_INTERVAL_MS) {
            path.passes = (path.passes ?? 0) + 1;
            path.passedAt = now;
        }
        return this.restoreIfProved(paths, now);
    }

    /** Forgets an upstream that has ended. */
    forget(upstream: UpstreamId): void {
        this.restoredAt.delete(upstream);
        for (const { lost } of this.pools.values()) lost.delete(upstream);
    }

    private restoreIfProved(paths: PoolPaths, now: number): UpstreamTarget[] {
        const proved = [...paths.lost.values()].filter(({ passes = 0 }) => passes >= PASSES_TO_RESTORE);
        const needed = Math.min(UPSTREAMS_FOR_POOL, paths.lost.size);
        if (proved.length < needed || now < paths.lostAt + paths.holdMs) return [];
        const restored = [...paths.lost.values()].filter(({ passes }) => passes !== 0).map(({ target }) => target);
        for (const { upstream } of restored) {
            paths.lost.delete(upstream);
            this.restoredAt.set(upstream, now);
        }
        paths.restoredAt = now;
        return restored;
    }

    private pathsOf(pool: PoolId): PoolPaths {
        let paths = this.pools.get(pool);
        if (!paths) {
            const never = Number.NEGATIVE_INFINITY;
            paths = { lost: new Map(), lostAt: 0, restoredAt: never, connectedAt: never, holdMs: MIN_HOLD_MS };
            this.pools.set(pool, paths);
        }
        return paths;
    }
}

/** Whether upstreams of a pool that were not tried yet are assumed lost too: several are, and no other was reached since. */
function isWhollyLost({ lost, lostAt, connectedAt }: PoolPaths): boolean {
    return lost.size >= UPSTREAMS_FOR_POOL && connectedAt < lostAt;
}
