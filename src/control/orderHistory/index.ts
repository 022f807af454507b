import { OrderRecord } from "../../order/index.js";
import { PoolReport, ReportedUpstream } from "../demandReport/index.js";
import { PlannedOrder, PurchaseSituation } from "../purchaseRunner/index.js";

/** Time after a drain order during which entries may still send requests to the engine, in milliseconds. */
const DRAIN_GRACE_MS = 3_000;

/** Looks up the orders in the control log that concern an upstream or a pool. */
export class OrderHistory {
    private readonly allOrders: readonly OrderRecord[];
    private readonly openOrders: readonly OrderRecord[];

    constructor({ openOrders, finishedOrders }: PurchaseSituation) {
        this.openOrders = openOrders;
        this.allOrders = [...finishedOrders, ...openOrders];
    }

    /** Whether an order for the pool to the platform has no outcome yet. */
    hasOpenOrder(pool: string): boolean {
        return this.openOrders.some(({ target }) => target.to === "platform" && target.body.pool === pool);
    }

    /** Returns the order that started an upstream. */
    findStartOrder(upstream: string): OrderRecord | undefined {
        return this.allOrders.find(order => isPlatformOrder(order, "start") && order.upstreams.includes(upstream));
    }

    /** Returns the drain order for an upstream, unless it was refused. */
    findDrainOrder(upstream: string): OrderRecord | undefined {
        return this.allOrders.find(({ target, outcome }) =>
            target.to === "engine" && target.body.action === "drain" && target.upstream === upstream
            && outcome !== "refused"
        );
    }

    /** Whether a stop of the upstream has been ordered from the platform. */
    isStopOrdered(upstream: string): boolean {
        return this.allOrders.some(order =>
            isPlatformOrder(order, "stop") && order.target.to === "platform" && order.target.body.upstream === upstream
        );
    }
}

/**
 * Plans stop orders for the upstreams that have drained as ordered.
 *
 * Prevents a stop from interrupting a request: entries may send requests for a short time after the drain order, and the engine's load
 * report may predate them. An engine counts as drained when a load measured well after it accepted the drain order shows no requests,
 * or when it has announced that it is gone.
 */
export function planStops(
    { pool, upstreams }: PoolReport,
    history: OrderHistory,
    now: number,
): PlannedOrder[] {
    return upstreams.filter(upstream => hasDrained(upstream, history, now)).map(({ id, zone, reclaimable }) => ({
        target: { to: "platform", body: { action: "stop", pool, zone, reclaimable, upstream: id } },
        reason: "it was told to drain and has",
    }));
}

function hasDrained(upstream: ReportedUpstream, history: OrderHistory, now: number): boolean {
    const { id, state, running, loadAgeMs } = upstream;
    const drainedAt = history.findDrainOrder(id)?.finishedAt;
    if (drainedAt === undefined || history.isStopOrdered(id)) return false;
    if (state === "gone") return true;
    return state === "leaving" && running === 0 && now - loadAgeMs >= drainedAt + DRAIN_GRACE_MS;
}

function isPlatformOrder({ target }: OrderRecord, action: "start" | "stop"): boolean {
    return target.to === "platform" && target.body.action === action;
}
