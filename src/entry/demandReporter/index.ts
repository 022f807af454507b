import { ControlClient, PoolReport, ReportedUpstream, TierLoad } from "../../control/index.js";
import { LocalDispatcher } from "../../dispatch/index.js";
import { HostId, PoolId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { Upstream, UpstreamRegistry } from "../../upstream/index.js";
import { FleetDispatcher } from "../fleetDispatcher/index.js";

/** Interval between demand reports, in milliseconds. */
const REPORT_INTERVAL_MS = 2_000;
/** Time for which an entry must own a pool before it reports it, in milliseconds; the upstreams announce themselves meanwhile. */
const OWNERSHIP_SETTLE_MS = 4_000;

/** Options of `DemandReporter`. */
export interface DemandReporterOptions {
    readonly clock: Clock;
    readonly self: HostId;
    readonly region: string;
    readonly client: Pick<ControlClient, "reportDemand">;
    readonly registry: UpstreamRegistry;
    readonly local: LocalDispatcher;
    readonly dispatcher: Pick<FleetDispatcher, "ownerOf">;
}

/**
 * Reports demand and upstreams to the holder, for the pools whose queue this entry owns.
 *
 * Prevents upstreams from being bought twice after the queue's owner has changed: the new owner, perhaps an entry that has just
 * started, may not yet know all of the pool's upstreams. It therefore reports a pool only after each upstream has had time to
 * announce itself several times.
 */
export class DemandReporter {
    /** Monotonic time at which this entry came to own each pool's queue, in milliseconds. */
    private readonly ownedSince = new Map<PoolId, number>();

    constructor(private readonly options: DemandReporterOptions) {}

    /** Reports until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, client, region } = this.options;
        while (!signal.aborted) {
            const pools = this.describePools();
            if (pools.length > 0) await client.reportDemand({ region, pools });
            await clock.sleepToTick(REPORT_INTERVAL_MS, signal);
        }
    }

    private describePools(): PoolReport[] {
        const { registry, clock } = this.options;
        // While all queues are idle, nothing else expires upstreams that have stopped announcing themselves.
        registry.expire();
        this.updateOwnership();
        const oldEnough = clock.monotonic() - OWNERSHIP_SETTLE_MS;
        const settled = [...this.ownedSince].filter(([, since]) => since <= oldEnough);
        return settled.map(([pool]) => this.describePool(pool));
    }

    private updateOwnership(): void {
        const { registry, local, dispatcher, self, clock } = this.options;
        const pools = new Set<PoolId>([...registry.pools(), ...local.pools()]);
        const owned = new Set([...pools].filter(pool => dispatcher.ownerOf(pool) === self));
        for (const pool of this.ownedSince.keys()) {
            if (!owned.has(pool)) this.ownedSince.delete(pool);
        }
        for (const pool of owned) {
            if (!this.ownedSince.has(pool)) this.ownedSince.set(pool, clock.monotonic());
        }
    }

    private describePool(pool: PoolId): PoolReport {
        const { registry, local, clock } = this.options;
        const now = clock.monotonic();
        return {
            pool,
            tiers: describeTiers(local, pool),
            readingLoad: local.prefillLoad(pool),
            upstreams: registry.list(pool).map(upstream => describeUpstream(upstream, now)),
        };
    }
}

function describeTiers(local: LocalDispatcher, pool: PoolId): TierLoad[] {
    const tiers = new Map<number, TierLoad>();
    const count = (tier: number, kind: "running" | "waiting"): void => {
        const load = tiers.get(tier) ?? { tier, running: 0, waiting: 0 };
        tiers.set(tier, { ...load, [kind]: load[kind] + 1 });
    };
    for (const { ticket } of local.listUnserved()) {
        if (ticket.pool === pool) count(ticket.tier, "waiting");
    }
    for (const { ticket } of local.listRunning(pool)) count(ticket.tier, "running");
    return [...tiers.values()];
}

function describeUpstream(upstream: Upstream, now: number): ReportedUpstream {
    const { announcement, id, zone, slots, state } = upstream;
    const { kind, address, reclaimable, checks_fence: checksFence, load } = announcement;
    return {
        id,
        zone,
        kind,
        address,
        reclaimable,
        checksFence,
        slots,
        state,
        isLeaving: !upstream.isGrantable && state !== "silent",
        running: load.running + load.queued,
        loadAgeMs: Math.max(0, now - upstream.loadMeasuredAt),
    };
}
