import { PoolId, ZoneId } from "../../ids/index.js";
import { PurchaseInput, PurchaseOrder, PurchasePolicy } from "../purchasePolicy/index.js";

/** A fixed number of upstreams of one pool and kind. */
export interface StaticPoolCount {
    readonly pool: PoolId;
    readonly reclaimable: boolean;
    readonly count: number;
}

/**
 * Baseline policy: a constant number of upstreams, spread over the zones; lost ones are replaced. With enough steady (not reclaimable)
 * upstreams for the peak it is static on-demand purchase.
 */
export class StaticPurchase extends PurchasePolicy {
    constructor(private readonly counts: readonly StaticPoolCount[], private readonly zones: readonly ZoneId[]) {
        super();
    }

    plan(input: PurchaseInput): readonly PurchaseOrder[] {
        const orders: PurchaseOrder[] = [];
        for (const { pool, reclaimable, count } of this.counts) {
            const isOfKind = (other: { pool: PoolId; reclaimable: boolean; }): boolean =>
                other.pool === pool && other.reclaimable === reclaimable;
            this.zones.forEach((zone, index) => {
                const targetCount = Math.floor((count + this.zones.length - 1 - index) / this.zones.length);
                const owned = input.owned.filter(other => isOfKind(other) && other.zone === zone && !other.isLeaving);
                const pending = input.pending.filter(other => isOfKind(other) && other.zone === zone)
                    .reduce((sum, other) => sum + other.count, 0);
                const missing = targetCount - owned.length - pending;
                if (missing > 0) orders.push({ action: "start", pool, zone, reclaimable, count: missing });
            });
        }
        return orders;
    }
}
