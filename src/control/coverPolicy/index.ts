import { PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { OrderRecord, OrderTarget } from "../../order/index.js";
import { Offer } from "../../protocol/index.js";
import {
    DemandForecast,
    ForecastSettings,
    OwnedUpstream,
    PendingStart,
    PurchaseOrder,
    PurchasePolicy as PurchaseDecision,
    StopOrder,
} from "../../purchase/index.js";
import { PoolReport, ReportedUpstream } from "../demandReport/index.js";
import { OfferReader } from "../offerReader/index.js";
import { OrderHistory, planStops } from "../orderHistory/index.js";
import { PlannedOrder, ProvisioningPolicy, PurchaseSituation } from "../purchaseRunner/index.js";

/** Options of `CoverPolicy`. */
export interface CoverPolicyOptions {
    /** Fetches the platform's offers. */
    readonly offers: OfferReader;
    /** Decides which offers to purchase and which upstreams to release. */
    readonly offerPolicy: PurchaseDecision;
    readonly forecast: ForecastSettings;
    readonly logger: Logger;
}

/**
 * Purchases and releases upstreams to cover the forecast demand of the pools for which the holder has fresh reports.
 *
 * An upstream is released by two orders: the engine is ordered to drain, and the platform is ordered to stop it only when the engine has
 * announced that it leaves and has no requests left. No orders are planned for a pool with an open order to the platform: until its
 * outcome is known, neither the offers nor the reports show whether its upstreams are still to come.
 */
export class CoverPolicy extends ProvisioningPolicy {
    private readonly forecast: DemandForecast;
    /** Wall time at which each upstream was first reported, in milliseconds; used for those that no known order started. */
    private readonly firstSeen = new Map<string, number>();

    constructor(private readonly options: CoverPolicyOptions) {
        super();
        this.forecast = new DemandForecast(options.forecast);
    }

    async plan(situation: PurchaseSituation): Promise<readonly PlannedOrder[]> {
        const history = new OrderHistory(situation);
        this.updateForecast(situation);
        this.forgetUnreported(situation);
        const pools = situation.demand.filter(({ pool }) => !history.hasOpenOrder(pool));
        if (pools.length === 0) return [];
        const read = await this.options.offers.read();
        read.ifLeft(err => this.options.logger.warn("offers-unreadable", { problem: err.message }));
        const offers = read.orDefault([]);
        const offered = pools.filter(({ pool }) => offers.some(offer => offer.pool === pool));
        const orders = this.planMix(offered, offers, situation, history);
        return [
            ...orders.flatMap(order => toPlannedOrders(order, offered, history)),
            ...pools.flatMap(report => planStops(report, history, situation.now)),
        ];
    }

    private forgetUnreported({ demand }: PurchaseSituation): void {
        const reported = new Set(demand.flatMap(({ upstreams }) => upstreams.map(({ id }) => id)));
        for (const id of this.firstSeen.keys()) {
            if (!reported.has(id)) this.firstSeen.delete(id);
        }
    }

    private updateForecast({ demand, now }: PurchaseSituation): void {
        for (const { pool, tier } of this.forecast.forecast()) {
            const report = demand.find(other => other.pool === pool);
            if (report && !report.tiers.some(load => load.tier === tier)) {
                this.forecast.observe({ pool, tier, slots: 0 }, now);
            }
        }
        for (const { pool, tiers } of demand) {
            for (const { tier, running, waiting } of tiers) {
                this.forecast.observe({ pool: pool as PoolId, tier, slots: running + waiting }, now);
            }
        }
    }

    private planMix(
        pools: readonly PoolReport[],
        offers: readonly Offer[],
        { now, finishedOrders }: PurchaseSituation,
        history: OrderHistory,
    ): readonly PurchaseOrder[] {
        const isPlanned = (pool: string): boolean => pools.some(report => report.pool === pool);
        return this.options.offerPolicy.plan({
            now,
            demand: this.forecast.forecast().filter(({ pool }) => isPlanned(pool)),
            owned: pools.flatMap(report => this.listOwned(report, offers, history, now)),
            pending: finishedOrders.flatMap(order => listPendingStarts(order, pools, offers, now)),
            offers: offers.filter(({ pool }) => isPlanned(pool)),
        });
    }

    private listOwned(
        { pool, upstreams }: PoolReport,
        offers: readonly Offer[],
        history: OrderHistory,
        now: number,
    ): OwnedUpstream[] {
        return upstreams.filter(upstream => upstream.state !== "gone").map(upstream => {
            const offer = findOffer(offers, pool, upstream.zone, upstream.reclaimable);
            const seenAt = this.firstSeen.get(upstream.id) ?? now;
            this.firstSeen.set(upstream.id, seenAt);
            return {
                id: upstream.id as UpstreamId,
                pool: pool as PoolId,
                zone: upstream.zone as ZoneId,
                reclaimable: upstream.reclaimable,
                slots: upstream.slots,
                startedAt: history.findStartOrder(upstream.id)?.finishedAt ?? seenAt,
                billedMinimumMs: offer?.billed_minimum_ms ?? 0,
                isLeaving: upstream.isLeaving || isLost(upstream),
            };
        });
    }
}

/** Time without a load report after which an upstream is replaced, in milliseconds. */
const LOST_AFTER_MS = 15_000;

/** Whether an upstream counts as lost. A short interruption, for instance of the network, doesn't justify paying another billed minimum. */
function isLost({ state, loadAgeMs }: ReportedUpstream): boolean {
    return state === "silent" && loadAgeMs >= LOST_AFTER_MS;
}

/** A start counts as failed after this multiple of the platform's start time plus `START_SLACK_MS`. */
const START_TIME_FACTOR = 2;
const START_SLACK_MS = 15_000;

/**
 * Lists the upstreams of a finished start order that have not announced themselves yet. Without it, a holder would order them again on
 * each run until they do. Upstreams that don't come in time are dropped from the list, so that they are replaced.
 */
function listPendingStarts(
    { target, outcome, upstreams, finishedAt }: OrderRecord,
    pools: readonly PoolReport[],
    offers: readonly Offer[],
    now: number,
): PendingStart[] {
    if (target.to !== "platform" || target.body.action !== "start" || outcome !== "done") return [];
    const { pool, zone, reclaimable } = target.body;
    const report = pools.find(other => other.pool === pool);
    if (!report) return [];
    const startMs = findOffer(offers, pool, zone, reclaimable)?.start_ms ?? 0;
    if (now > (finishedAt ?? 0) + START_TIME_FACTOR * startMs + START_SLACK_MS) return [];
    const count = upstreams.filter(id => !report.upstreams.some(other => other.id === id)).length;
    return count === 0 ? [] : [{ pool: pool as PoolId, zone: zone as ZoneId, reclaimable, count }];
}

function findOffer(offers: readonly Offer[], pool: string, zone: string, reclaimable: boolean): Offer | undefined {
    return offers.find(offer => offer.pool === pool && offer.zone === zone && offer.reclaimable === reclaimable);
}

function toPlannedOrders(
    order: PurchaseOrder,
    pools: readonly PoolReport[],
    history: OrderHistory,
): PlannedOrder[] {
    if (order.action === "stop") return toDrainOrders(order, pools, history);
    const { action, pool, zone, reclaimable, count } = order;
    const target: OrderTarget = { to: "platform", body: { action, pool, zone, reclaimable, count } };
    return [{ target, reason: "demand is forecast beyond what runs" }];
}

function toDrainOrders(
    { pool, upstream }: StopOrder,
    pools: readonly PoolReport[],
    history: OrderHistory,
): PlannedOrder[] {
    const known: ReportedUpstream | undefined = pools.find(report => report.pool === pool)
        ?.upstreams.find(other => other.id === upstream);
    if (known?.kind !== "engine" || history.findDrainOrder(upstream)) return [];
    const { address, checksFence } = known;
    const body = { action: "drain", target: upstream } as const;
    return [{ target: { to: "engine", address, upstream, checksFence, body }, reason: "more runs than is needed" }];
}
