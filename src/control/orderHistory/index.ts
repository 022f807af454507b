import { OrderRecord } from "../../order/index.js";
import { PoolReport, ReportedUpstream } from "../demandReport/index.js";
import { PlannedOrder, PurchaseSituation } from "../purchaseRunner/index.js";

/** An entry may still give work for this long after an engine was told to drain, in milliseconds. */
const DRAIN_GRACE_MS = 3_000;

/** What the control log knows of the orders concerning an upstream. */
export class OrderHistory {
    private readonly orders: readonly OrderRecord[];
    private readonly open: readonly OrderRecord[];

    constructor({ openOrders, finishedOrders }: PurchaseSituation) {
        this.open = openOrders;
        this.orders = [...finishedOrders, ...openOrders];
    }

    /** Whether an order of a pool is on its way to the platform. */
    hasOpenOrder(pool: string): boolean {
        return this.open.some(({ target }) => target.to === "platform" && target.body.pool === pool);
    }

    /** The order that started an upstream. */
    startOf(upstream: string): OrderRecord | undefined {
        return this.orders.find(order => isPlatformOrder(order, "start") && order.upstreams.includes(upstream));
    }

    /** The order that told an upstream to drain, unless it was refused. */
    drainOf(upstream: string): OrderRecord | undefined {
        return this.orders.find(({ target, outcome }) =>
            target.to === "engine" && target.body.action === "drain" && target.upstream === upstream
            && outcome !== "refused"
        );
    }

    /** Whether the platform was told to stop an upstream. */
    isStopped(upstream: string): boolean {
        return this.orders.some(order =>
            isPlatformOrder(order, "stop") && order.target.to === "platform" && order.target.body.upstream === upstream
        );
    }
}

/**
 * Stops of the upstreams that were told to drain and have.
 *
 * Guards against a stop that cuts a request: an engine's load report is older than the news that it leaves, and the entries
 * give it work for a moment longer. It counts as drained when a load measured well after its drain order was taken shows
 * nothing, or when it has said its last word.
 */
export function findLeavers(
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
    const drainedAt = history.drainOf(id)?.finishedAt;
    if (drainedAt === undefined || history.isStopped(id)) return false;
    if (state === "gone") return true;
    return state === "leaving" && running === 0 && now - loadAgeMs >= drainedAt + DRAIN_GRACE_MS;
}

function isPlatformOrder({ target }: OrderRecord, action: "start" | "stop"): boolean {
    return target.to === "platform" && target.body.action === action;
}
