import { PoolId, UpstreamId, ZoneId } from "../../ids/index.js";
import { Offer } from "../../protocol/index.js";

/** Slots that a tier of a pool needs. */
export interface TierDemand {
    readonly pool: PoolId;
    readonly tier: number;
    /** Concurrently running requests; in a forecast, for the time at which an upstream ordered now is ready. */
    readonly slots: number;
}

/** An upstream that is running and billed. */
export interface OwnedUpstream {
    readonly id: UpstreamId;
    readonly pool: PoolId;
    readonly zone: ZoneId;
    /** Whether the platform may take it back at any time. */
    readonly reclaimable: boolean;
    /** Requests that it runs concurrently. */
    readonly slots: number;
    /** Wall time of its start, in milliseconds. */
    readonly startedAt: number;
    /** Time that is billed even if it is stopped earlier, in milliseconds. */
    readonly billedMinimumMs: number;
    /** Whether it has a reclaim notice or is shutting down. */
    readonly isLeaving: boolean;
}

/** Ordered upstreams that have not announced themselves yet. */
export interface PendingStart {
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly reclaimable: boolean;
    readonly count: number;
}

/** Prepaid credits that expire unless they are spent in time. */
export interface Credits {
    /** In micro-credits. */
    readonly left: number;
    /** Wall time, in milliseconds. */
    readonly expiresAt: number;
}

/** Input of a purchase decision. */
export interface PurchaseInput {
    /** Wall time, in milliseconds. */
    readonly now: number;
    readonly demand: readonly TierDemand[];
    readonly owned: readonly OwnedUpstream[];
    readonly pending: readonly PendingStart[];
    readonly offers: readonly Offer[];
    readonly credits?: Credits;
}

/** An order to start upstreams. */
export interface StartOrder {
    readonly action: "start";
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly reclaimable: boolean;
    readonly count: number;
}

/** An order to stop an upstream after it has drained. */
export interface StopOrder {
    readonly action: "stop";
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly reclaimable: boolean;
    readonly upstream: UpstreamId;
}

/** An order to the platform to start or stop upstreams. */
export type PurchaseOrder = StartOrder | StopOrder;

/** Decides which upstreams to run. Places no orders itself: the holder of the control lease places them, each with its id. */
export abstract class PurchasePolicy {
    /**
     * Plans orders; called every few seconds.
     *
     * @param input - The current state and the forecast.
     * @returns The orders to place; empty when the running upstreams are as planned.
     */
    abstract plan(input: PurchaseInput): readonly PurchaseOrder[];
}
