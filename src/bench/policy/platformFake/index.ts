import { PoolId, UpstreamId, ZoneId } from "../../../ids/index.js";
import { Clock } from "../../../ports/index.js";
import { Offer } from "../../../protocol/index.js";
import { OwnedUpstream, PendingStart, PurchaseOrder } from "../../../purchase/index.js";
import { Deployment, PoolProfile } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { Scenario } from "../scenario/index.js";
import { BATCH_SLOWDOWN } from "../traffic/index.js";

/** Price of a non-reclaimable engine, in micro-credits per hour. */
export const STEADY_PRICE_PER_HOUR = 1_000_000;
/** Price of a reclaimable engine, in micro-credits per hour. */
export const RECLAIMABLE_PRICE_PER_HOUR = 350_000;
/** Time from an order to the engine's first announcement; short, since an hour of a real day is minutes here. */
export const UPSTREAM_START_MS = 6_000;
/** Minimum running time that is billed for an engine. */
export const BILLED_MINIMUM_MS = 15_000;
const CACHED_PREFIXES = 40;
const HOUR_MS = 3_600_000;

interface PendingOrder extends PendingStart {
    readonly dueAt: number;
}

/** Simulates the platform that rents out engines: offers per zone, start delays, billing and the reclaim of a zone. */
export class PlatformFake {
    readonly engines: EngineFake[] = [];
    private pending: PendingOrder[] = [];
    private readonly reclaimedZones = new Set<string>();
    private lastEngineNumber = 0;

    constructor(
        private readonly clock: Clock,
        private readonly deployment: Deployment,
        private readonly scenario: Scenario,
        private readonly onStarted: (engine: EngineFake) => void,
    ) {}

    get pendingStarts(): readonly PendingStart[] {
        return this.pending;
    }

    get owned(): readonly OwnedUpstream[] {
        return this.engines.filter(engine => engine.isAlive).map(engine => ({
            id: engine.profile.id as UpstreamId,
            pool: engine.profile.pool as PoolId,
            zone: engine.profile.zone as ZoneId,
            reclaimable: engine.profile.reclaimable,
            slots: engine.profile.slots,
            startedAt: engine.startedAt,
            billedMinimumMs: BILLED_MINIMUM_MS,
            isLeaving: engine.isLeaving,
        }));
    }

    /**
     * Returns what can be ordered now. The quota of a pool is the number of engines in its profile, so that all policies
     * have the same maximum.
     */
    offers(): readonly Offer[] {
        return this.deployment.zones.flatMap(zone =>
            this.deployment.pools.flatMap(
                profile => [this.makeOffer(zone, profile, true), this.makeOffer(zone, profile, false)],
            )
        );
    }

    /**
     * Processes start and stop orders.
     *
     * @param startsImmediately - Starts engines without the start delay, for those that run when the scenario begins.
     */
    placeOrders(orders: readonly PurchaseOrder[], startsImmediately = false): void {
        for (const order of orders) {
            if (order.action === "stop") {
                this.stop(this.engines.find(engine => engine.profile.id === order.upstream));
                continue;
            }
            const { pool, zone, reclaimable } = order;
            const { available } = this.offers().find(offer =>
                offer.pool === pool && offer.zone === zone && offer.reclaimable === reclaimable
            )!;
            const count = Math.min(order.count, available);
            if (count === 0) continue;
            const pending = { pool, zone, reclaimable, count, dueAt: this.clock.monotonic() + UPSTREAM_START_MS };
            this.pending.push(pending);
            if (startsImmediately) this.start(pending);
            else this.clock.after(UPSTREAM_START_MS, () => this.start(pending));
        }
    }

    /** Reclaims a zone's reclaimable engines after a notice and offers none there from now on. */
    reclaim(zone: string, noticeMs: number): void {
        this.reclaimedZones.add(zone);
        for (const engine of this.engines) {
            if (engine.profile.zone !== zone || !engine.profile.reclaimable || !engine.isAlive) continue;
            engine.announceReclaim(noticeMs);
            this.clock.after(noticeMs, () => engine.crash());
        }
    }

    /** Returns the cost of all engines until now, in micro-credits. */
    bill(): number {
        const now = this.clock.monotonic();
        return this.engines.reduce((sum, engine) => {
            const billedMs = Math.max(BILLED_MINIMUM_MS, (engine.endedAt ?? now) - engine.startedAt);
            return sum + billedMs / HOUR_MS * engine.profile.pricePerHour;
        }, 0);
    }

    private makeOffer(zone: string, profile: PoolProfile, reclaimable: boolean): Offer {
        const { pool } = profile;
        const countInPool = this.count(other => other.pool === pool);
        const countInZone = this.count(other =>
            other.pool === pool && other.zone === zone && other.reclaimable === reclaimable
        );
        const enginesPerZone = Math.ceil(profile.engines / this.deployment.zones.length);
        const maxInZone = reclaimable ? this.scenario.maxReclaimablePerZone ?? enginesPerZone : enginesPerZone;
        const remaining = reclaimable && this.reclaimedZones.has(zone) ? 0 : maxInZone - countInZone;
        return {
            zone,
            pool,
            reclaimable,
            available: Math.max(0, Math.min(remaining, profile.engines - countInPool)),
            price_per_hour: reclaimable ? RECLAIMABLE_PRICE_PER_HOUR : STEADY_PRICE_PER_HOUR,
            start_ms: UPSTREAM_START_MS,
            billed_minimum_ms: BILLED_MINIMUM_MS,
        };
    }

    private count(matches: (other: { pool: string; zone: string; reclaimable: boolean; }) => boolean): number {
        const alive = this.engines.filter(engine => engine.isAlive && matches(engine.profile)).length;
        return this.pending.filter(matches).reduce((sum, pending) => sum + pending.count, alive);
    }

    private start(pending: PendingOrder): void {
        this.pending = this.pending.filter(other => other !== pending);
        const profile = this.deployment.pools.find(other => other.pool === pending.pool)!;
        for (let index = 0; index < pending.count; index++) {
            const engine = new EngineFake(this.clock, {
                id: `${pending.pool}-${++this.lastEngineNumber}`,
                zone: pending.zone,
                pool: pending.pool,
                slots: profile.slots,
                reclaimable: pending.reclaimable,
                pricePerHour: pending.reclaimable ? RECLAIMABLE_PRICE_PER_HOUR : STEADY_PRICE_PER_HOUR,
                tokenMs: profile.tokenMs,
                batchSlowdown: BATCH_SLOWDOWN,
                prefillTokenMs: profile.prefillTokenMs,
                cachedPrefixes: CACHED_PREFIXES,
                reportLagMs: this.scenario.reportLagMs,
            });
            this.engines.push(engine);
            this.onStarted(engine);
        }
    }

    private stop(engine: EngineFake | undefined): void {
        engine?.leave();
        const endWhenIdle = (): void => {
            if (engine?.isIdle) engine.crash();
            else if (engine?.isAlive) this.clock.after(500, endWhenIdle);
        };
        this.clock.after(1_000, endWhenIdle);
    }
}
