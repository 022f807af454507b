import { PoolId, UpstreamId, ZoneId } from "../../../ids/index.js";
import { Clock } from "../../../ports/index.js";
import { Offer } from "../../../protocol/index.js";
import { OwnedUpstream, PendingStart, PurchaseOrder } from "../../../purchase/index.js";
import { Deployment, PoolShape } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { Scenario } from "../scenario/index.js";
import { BATCH_SLOWDOWN } from "../traffic/index.js";

/** Micro-credits an hour. */
export const STEADY_PRICE = 1_000_000;
export const RECLAIMABLE_PRICE = 350_000;
/** From the order to the first announcement, in milliseconds: hours of a real day are minutes here. */
export const START_MS = 6_000;
export const BILLED_MINIMUM_MS = 15_000;
const CACHED_PREFIXES = 40;
const HOUR_MS = 3_600_000;

interface Pending extends PendingStart {
    readonly dueAt: number;
}

/** The platform in memory: offers by zone, a start-up lag, bills, reclaims of a whole zone. */
export class PlatformFake {
    readonly engines: EngineFake[] = [];
    private pending: Pending[] = [];
    private readonly reclaimedZones = new Set<string>();
    private nextNumber = 0;

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
            id: engine.shape.id as UpstreamId,
            pool: engine.shape.pool as PoolId,
            zone: engine.shape.zone as ZoneId,
            reclaimable: engine.shape.reclaimable,
            slots: engine.shape.slots,
            startedAt: engine.startedAt,
            billedMinimumMs: BILLED_MINIMUM_MS,
            isLeaving: engine.isLeaving,
        }));
    }

    /** What can be had now. The quota of a pool is its number of engines, so that all policies have the same at most. */
    offers(): readonly Offer[] {
        return this.deployment.zones.flatMap(zone =>
            this.deployment.pools.flatMap(shape => [this.offer(zone, shape, true), this.offer(zone, shape, false)])
        );
    }

    /** Takes orders; `isFirst`: what runs when the scenario begins, without a lag. */
    place(orders: readonly PurchaseOrder[], isFirst = false): void {
        for (const order of orders) {
            if (order.action === "stop") {
                this.stop(this.engines.find(engine => engine.shape.id === order.upstream));
                continue;
            }
            const { pool, zone, reclaimable } = order;
            const { available } = this.offers().find(offer =>
                offer.pool === pool && offer.zone === zone && offer.reclaimable === reclaimable
            )!;
            const count = Math.min(order.count, available);
            if (count === 0) continue;
            const pending = { pool, zone, reclaimable, count, dueAt: this.clock.monotonic() + START_MS };
            this.pending.push(pending);
            if (isFirst) this.start(pending);
            else this.clock.after(START_MS, () => this.start(pending));
        }
    }

    /** Takes a zone's reclaimable engines back. */
    reclaim(zone: string, noticeMs: number): void {
        this.reclaimedZones.add(zone);
        for (const engine of this.engines) {
            if (engine.shape.zone !== zone || !engine.shape.reclaimable || !engine.isAlive) continue;
            engine.noticeReclaim(noticeMs);
            this.clock.after(noticeMs, () => engine.crash());
        }
    }

    /** What all engines cost until now, in micro-credits. */
    bill(): number {
        const now = this.clock.monotonic();
        return this.engines.reduce((sum, engine) => {
            const ranMs = Math.max(BILLED_MINIMUM_MS, (engine.endedAt ?? now) - engine.startedAt);
            return sum + ranMs / HOUR_MS * engine.shape.pricePerHour;
        }, 0);
    }

    private offer(zone: string, shape: PoolShape, reclaimable: boolean): Offer {
        const { pool } = shape;
        const inPool = this.count(other => other.pool === pool);
        const inZone = this.count(other =>
            other.pool === pool && other.zone === zone && other.reclaimable === reclaimable
        );
        const perZone = Math.ceil(shape.engines / this.deployment.zones.length);
        const offered = reclaimable ? this.scenario.reclaimableOffered ?? perZone : perZone;
        const left = reclaimable && this.reclaimedZones.has(zone) ? 0 : offered - inZone;
        return {
            zone,
            pool,
            reclaimable,
            available: Math.max(0, Math.min(left, shape.engines - inPool)),
            price_per_hour: reclaimable ? RECLAIMABLE_PRICE : STEADY_PRICE,
            start_ms: START_MS,
            billed_minimum_ms: BILLED_MINIMUM_MS,
        };
    }

    private count(isMeant: (other: { pool: string; zone: string; reclaimable: boolean; }) => boolean): number {
        const alive = this.engines.filter(engine => engine.isAlive && isMeant(engine.shape)).length;
        return this.pending.filter(isMeant).reduce((sum, pending) => sum + pending.count, alive);
    }

    private start(pending: Pending): void {
        this.pending = this.pending.filter(other => other !== pending);
        const shape = this.deployment.pools.find(other => other.pool === pending.pool)!;
        for (let index = 0; index < pending.count; index++) {
            const engine = new EngineFake(this.clock, {
                id: `${pending.pool}-${++this.nextNumber}`,
                zone: pending.zone,
                pool: pending.pool,
                slots: shape.slots,
                reclaimable: pending.reclaimable,
                pricePerHour: pending.reclaimable ? RECLAIMABLE_PRICE : STEADY_PRICE,
                tokenMs: shape.tokenMs,
                batchSlowdown: BATCH_SLOWDOWN,
                prefillTokenMs: shape.prefillTokenMs,
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
