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
    PurchasePolicy as Decision,
    StopOrder,
} from "../../purchase/index.js";
import { PoolReport, ReportedUpstream } from "../demandReport/index.js";
import { OfferReader } from "../offerReader/index.js";
import { findLeavers, OrderHistory } from "../orderHistory/index.js";
import { PlannedOrder, PurchasePolicy, PurchaseSituation } from "../purchaseRunner/index.js";

/** What the policy works with. */
export interface CoverPolicyOptions {
    readonly offers: OfferReader;
    /** Decides on the mix. */
    readonly decision: Decision;
    readonly forecast: ForecastSettings;
    readonly logger: Logger;
}

/**
 * Buys and releases upstreams for the pools of which the holder has fresh reports.
 *
 * An upstream is released in two orders: the engine is told to drain, and the platform is told to stop it only when the
 * engine has said that it leaves and has nothing left to do. A pool that has an order on its way to the platform waits for
 * its outcome: until then neither the offers nor the reports say whether its upstreams are still to come.
 */
export class CoverPolicy extends PurchasePolicy {
    private readonly forecast: DemandForecast;
    /** When upstreams were first seen, by wall time in milliseconds; for those that no known order started. */
    private readonly firstSeen = new Map<string, number>();

    constructor(private readonly options: CoverPolicyOptions) {
        super();
        this.forecast = new DemandForecast(options.forecast);
    }

    async plan(situation: PurchaseSituation): Promise<readonly PlannedOrder[]> {
        const history = new OrderHistory(situation);
        this.learn(situation);
        this.forgetUnreported(situation);
        const pools = situation.demand.filter(({ pool }) => !history.hasOpenOrder(pool));
        if (pools.length === 0) return [];
        const read = await this.options.offers.read();
        read.ifLeft(err => this.options.logger.warn("offers-unreadable", { problem: err.message }));
        const offers = read.orDefault([]);
        const offered = pools.filter(({ pool }) => offers.some(offer => offer.pool === pool));
        const orders = this.decide(offered, offers, situation, history);
        return [
            ...orders.flatMap(order => describeOrder(order, offered, history)),
            ...pools.flatMap(report => findLeavers(report, history, situation.now)),
        ];
    }

    private forgetUnreported({ demand }: PurchaseSituation): void {
        const reported = new Set(demand.flatMap(({ upstreams }) => upstreams.map(({ id }) => id)));
        for (const id of this.firstSeen.keys()) {
            if (!reported.has(id)) this.firstSeen.delete(id);
        }
    }

    private learn({ demand, now }: PurchaseSituation): void {
        for (const { pool, tier } of this.forecast.forecast()) {
            const report = demand.find(other => other.pool === pool);
            if (report && !report.tiers.some(load => load.tier === tier)) {
                this.forecast.learn({ pool, tier, slots: 0 }, now);
            }
        }
        for (const { pool, tiers } of demand) {
            for (const { tier, running, waiting } of tiers) {
                this.forecast.learn({ pool: pool as PoolId, tier, slots: running + waiting }, now);
            }
        }
    }

    private decide(
        pools: readonly PoolReport[],
        offers: readonly Offer[],
        { now, finishedOrders }: PurchaseSituation,
        history: OrderHistory,
    ): readonly PurchaseOrder[] {
        const isPlanned = (pool: string): boolean => pools.some(report => report.pool === pool);
        return this.options.decision.plan({
            now,
            demand: this.forecast.forecast().filter(({ pool }) => isPlanned(pool)),
            owned: pools.flatMap(report => this.listOwned(report, offers, history, now)),
            pending: finishedOrders.flatMap(order => describePending(order, pools, offers, now)),
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
                startedAt: history.startOf(upstream.id)?.finishedAt ?? seenAt,
                billedMinimumMs: offer?.billed_minimum_ms ?? 0,
                isLeaving: upstream.isLeaving || isLost(upstream),
            };
        });
    }
}

/** An upstream not heard of for this long is replaced, in milliseconds. */
const LOST_AFTER_MS = 15_000;

/** A moment's silence, of the network for instance, is not worth a billed minimum. */
function isLost({ state, loadAgeMs }: ReportedUpstream): boolean {
    return state === "silent" && loadAgeMs >= LOST_AFTER_MS;
}

/** Starting takes at most this many times as long as the platform says, plus a while; then it has failed. */
const START_PATIENCE = 2;
const START_SLACK_MS = 15_000;

/**
 * What a finished start order has not brought yet. Without it, a holder would order the same upstreams again on each look
 * until they announce themselves. One that never comes is given up, so that it is replaced.
 */
function describePending(
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
    if (now > (finishedAt ?? 0) + START_PATIENCE * startMs + START_SLACK_MS) return [];
    const count = upstreams.filter(id => !report.upstreams.some(other => other.id === id)).length;
    return count === 0 ? [] : [{ pool: pool as PoolId, zone: zone as ZoneId, reclaimable, count }];
}

function findOffer(offers: readonly Offer[], pool: string, zone: string, reclaimable: boolean): Offer | undefined {
    return offers.find(offer => offer.pool === pool && offer.zone === zone && offer.reclaimable === reclaimable);
}

function describeOrder(
    order: PurchaseOrder,
    pools: readonly PoolReport[],
    history: OrderHistory,
): PlannedOrder[] {
    if (order.action === "stop") return describeDrain(order, pools, history);
    const { action, pool, zone, reclaimable, count } = order;
    const target: OrderTarget = { to: "platform", body: { action, pool, zone, reclaimable, count } };
    return [{ target, reason: "demand is forecast beyond what runs" }];
}

function describeDrain(
    { pool, upstream }: StopOrder,
    pools: readonly PoolReport[],
    history: OrderHistory,
): PlannedOrder[] {
    const known: ReportedUpstream | undefined = pools.find(report => report.pool === pool)
        ?.upstreams.find(other => other.id === upstream);
    if (known?.kind !== "engine" || history.drainOf(upstream)) return [];
    const { address, checksFence } = known;
    const body = { action: "drain", target: upstream } as const;
    return [{ target: { to: "engine", address, upstream, checksFence, body }, reason: "more runs than is needed" }];
}
