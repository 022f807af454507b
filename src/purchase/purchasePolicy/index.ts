import { PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Offer } from "../../protocol/index.js";

/** How many slots a tier of a pool will need. */
export interface TierDemand {
    readonly pool: PoolId;
    readonly tier: number;
    /** Requests running at once, as forecast for when an upstream ordered now is ready. */
    readonly slots: number;
}

/** An upstream that is paid for. */
export interface OwnedUpstream {
    readonly id: UpstreamId;
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly reclaimable: boolean;
    readonly slots: number;
    /** Wall time of its start, in milliseconds. */
    readonly startedAt: number;
    readonly billedMinimumMs: number;
    /** It has a reclaim notice, or leaves. */
    readonly isLeaving: boolean;
}

/** Upstreams ordered that have not announced themselves yet. */
export interface PendingStart {
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly reclaimable: boolean;
    readonly count: number;
}

/** Credits that are lost when they are not spent in time. */
export interface Credits {
    /** In micro-credits. */
    readonly left: number;
    /** Wall time, in milliseconds. */
    readonly expiresAt: number;
}

/** All that a purchase decision rests on. */
export interface PurchaseSnapshot {
    /** Wall time, in milliseconds. */
    readonly now: number;
    readonly demand: readonly TierDemand[];
    readonly owned: readonly OwnedUpstream[];
    readonly pending: readonly PendingStart[];
    readonly offers: readonly Offer[];
    readonly credits?: Credits;
}

/** Upstreams to start. */
export interface StartOrder {
    readonly action: "start";
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly reclaimable: boolean;
    readonly count: number;
}

/** An upstream to stop, after it has drained. */
export interface StopOrder {
    readonly action: "stop";
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly reclaimable: boolean;
    readonly upstream: UpstreamId;
}

export type PurchaseOrder = StartOrder | StopOrder;

/** Decides which upstreams to run. A pure decision: the control holder places the orders, each with its id. */
export abstract class PurchasePolicy {
    /**
     * @param snapshot - What is known now; call it every few seconds.
     * @returns The orders to place, none when all is as it should be.
     */
    abstract plan(snapshot: PurchaseSnapshot): readonly PurchaseOrder[];
}
