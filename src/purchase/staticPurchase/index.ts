import { PoolId, ZoneId } from "../../ids/index.js";
import { PurchaseOrder, PurchasePolicy, PurchaseSnapshot } from "../purchasePolicy/index.js";

/** A fixed number of upstreams of one pool. */
export interface StaticCount {
    readonly pool: PoolId;
    readonly reclaimable: boolean;
    readonly count: number;
}

/**
 * Baseline: the same upstreams at all times, spread over the zones; lost ones are replaced. With steady upstreams for
 * the peak it is static on-demand purchase.
 */
export class StaticPurchase extends PurchasePolicy {
    constructor(private readonly counts: readonly StaticCount[], private readonly zones: readonly ZoneId[]) {
        super();
    }

    plan(snapshot: PurchaseSnapshot): readonly PurchaseOrder[] {
        const orders: PurchaseOrder[] = [];
        for (const { pool, reclaimable, count } of this.counts) {
            const isOfKind = (other: { pool: PoolId; reclaimable: boolean; }): boolean =>
                other.pool === pool && other.reclaimable === reclaimable;
            this.zones.forEach((zone, index) => {
                const wanted = Math.floor((count + this.zones.length - 1 - index) / this.zones.length);
                const owned = snapshot.owned.filter(other =>
                    isOfKind(other) && other.zone === zone && !other.isLeaving
                );
                const pending = snapshot.pending.filter(other => isOfKind(other) && other.zone === zone)
                    .reduce((sum, other) => sum + other.count, 0);
                const missing = wanted - owned.length - pending;
                if (missing > 0) orders.push({ action: "start", pool, zone, reclaimable, count: missing });
            });
        }
        return orders;
    }
}
