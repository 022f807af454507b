import { HostId, PoolId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { planZones, PoolZoneState, ZoneCount, ZoneTarget } from "../../purchase/index.js";
import { ScalingSpec } from "../../routing/index.js";
import { Upstream, UpstreamRegistry } from "../../upstream/index.js";
import { ControlState } from "../controlState/index.js";
import { DemandTable } from "../demandTable/index.js";
import { FencedCall, FencedSender } from "../fencedSender/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";

const STEP_INTERVAL_MS = 500;
/** Target share of an engine's time spent on prefill: above it, concurrent streams pause too often. */
const PREFILL_SHARE = 0.35;
/** Maximum prefill share where only steady (not reclaimable) upstreams are available, which cost more. */
const MAX_PREFILL_SHARE = 0.4;
/** Time that a lower need must last before a pool shrinks, in milliseconds, because bursts follow each other. */
const SCALE_DOWN_DELAY_MS = 15_000;
/** Back-off after the platform reported that it has no capacity left, in milliseconds. */
const NO_CAPACITY_BACKOFF_MS = 3_000;
/**
 * Observation period at the start of a term, in milliseconds. Upstreams announce themselves within little more than a second, but when all
 * processes have just started, some reach a control process only with their third announcement, and owners report every two seconds.
 */
const OBSERVATION_MS = 4_000;
/** Delay before an order without a reply is resent, in milliseconds. */
const RETRY_DELAY_MS = 1_000;
/** Time after their start within which new upstreams have announced themselves, in milliseconds. */
const ANNOUNCE_MARGIN_MS = 1_500;
/** Maximum pause that the platform can ask for, in milliseconds. */
const MAX_PAUSE_MS = 60_000;
const STATUS_NO_CAPACITY = 409;
/** Fencing token of the very first holder of the cluster. */
const FIRST_TOKEN = 1;
/** Number of spare upstreams while the load is still unknown: cheaper than a first burst that finds too few. */
const UNKNOWN_LOAD_SPARE = 1;

/** Desired number of upstreams of one kind in a zone. */
export interface SizeOrder {
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly count: number;
    /** Whether the order is for upstreams that the platform may reclaim at short notice. */
    readonly reclaimable: boolean;
}

/** Options of `PoolSizer`. */
export interface PoolSizerOptions {
    readonly self: { readonly host: HostId; };
    readonly clock: Clock;
    readonly logger: Logger;
    readonly state: ControlState;
    readonly registry: UpstreamRegistry;
    readonly demand: DemandTable;
    readonly sender: FencedSender;
    /** The platform refuses orders with an outdated fencing token. */
    readonly platformChecksFence: boolean;
    /** Builds the call that sends an order in the platform's format. */
    readonly buildCall: (order: SizeOrder, term: HolderTerm) => FencedCall;
}

/** The latest order sent for a pool, zone and kind. */
interface SentOrder {
    /** Undefined: the order got no reply and may or may not have been accepted. */
    readonly count: number | undefined;
    /** Monotonic time, in milliseconds. */
    readonly sentAt: number;
    /** Monotonic time before which it is not resent, in milliseconds. */
    readonly retryAt: number;
    /** The platform has no capacity left. */
    readonly soldOut: boolean;
    /** Maximum number of ready upstreams since then. */
    maxReady: number;
}

/** An order to be sent now. */
interface DueOrder extends SizeOrder {
    /** Number of upstreams that are ready now. */
    readonly ready: number;
}

interface Need {
    /** Number of upstreams. */
    count: number;
    /** Monotonic time at which the need was last this high, in milliseconds. */
    highAt: number;
}

/**
 * Scales each pool to its load, by ordering a desired number of upstreams per zone and kind: reclaimable or steady (not reclaimable).
 * Orders are idempotent and therefore not written to the log: a new holder sends each order once more.
 */
export class PoolSizer extends HolderTask {
    readonly name = "pool-sizer";
    private readonly sentOrders = new Map<string, SentOrder>();
    private readonly needs = new Map<PoolId, Need>();
    private token: number | undefined;
    private termStartedAt = 0;

    constructor(private readonly options: PoolSizerOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { state, platformChecksFence } = this.options;
        this.startTerm(term);
        this.updateNeeds();
        const isObserving = this.options.clock.monotonic() - this.termStartedAt < OBSERVATION_MS;
        if (isObserving && term.token !== FIRST_TOKEN) return STEP_INTERVAL_MS;
        for (const { pool, scaling } of state.documents.current?.document.pools ?? []) {
            if (!scaling) continue;
            const orders = this.planPool(pool, scaling);
            for (const dueOrder of isObserving ? orders.filter(order => this.onlyAddsCapacity(order)) : orders) {
                if (!term.maySend(platformChecksFence)) return STEP_INTERVAL_MS;
                await this.send(dueOrder, term);
            }
        }
        return STEP_INTERVAL_MS;
    }

    /**
     * Whether an order can only add capacity, so that the cluster's first holder may send it during its observation period: no earlier holder
     * can have ordered reclaimable upstreams, so the platform has none but those ordered here. They start in the meantime, which saves some
     * seconds of paying for steady ones.
     */
    private onlyAddsCapacity(order: DueOrder): boolean {
        const previousCount = this.sentOrders.get(formatOrderKey(order))?.count ?? 0;
        return order.reclaimable && order.count > Math.max(previousCount, order.ready);
    }

    /** Drops the orders of an earlier term, which another holder's orders may have replaced. */
    private startTerm({ token }: HolderTerm): void {
        if (this.token === token) return;
        this.token = token;
        this.termStartedAt = this.options.clock.monotonic();
        this.sentOrders.clear();
        this.needs.clear();
    }

    /**
     * Updates the number of upstreams that each pool needs.
     *
     * Prevents a pool from shrinking for lack of reports: a new holder discovers upstreams one by one, and the load even later. During its
     * observation period a pool needs at least as many upstreams as have announced themselves so far, and a load that is absent from the start,
     * as before the first calls, must stay absent for the whole `SCALE_DOWN_DELAY_MS`.
     */
    private updateNeeds(): void {
        const now = this.options.clock.monotonic();
        const isObserving = now - this.termStartedAt < OBSERVATION_MS;
        for (const { pool, scaling } of this.options.state.documents.current?.document.pools ?? []) {
            if (!scaling) continue;
            const currentNeed = isObserving ? this.countNeedForCurrentSize(pool, scaling) : 0;
            const count = Math.max(currentNeed, Math.ceil(this.findPrefillLoad(pool) / PREFILL_SHARE));
            const need = this.needs.get(pool);
            const isHigh = !need || count >= need.count || now - need.highAt >= SCALE_DOWN_DELAY_MS;
            if (isHigh) this.needs.set(pool, { count, highAt: now });
        }
    }

    /** Returns the need that matches the pool's current size plus a spare, for use while its load is unknown. */
    private countNeedForCurrentSize(pool: PoolId, scaling: ScalingSpec): number {
        const zones = this.listZoneSituations(pool, scaling);
        const readyCount = zones.reduce((sum, { steady, reclaimable }) => sum + steady.ready + reclaimable.ready, 0);
        const perZone = zones.length === 0 ? 0 : readyCount / zones.length;
        return Math.ceil(perZone * Math.max(1, zones.length - 1)) + UNKNOWN_LOAD_SPARE;
    }

    /** Returns the prefill load by the latest report, as a number of fully busy upstreams; 0 without a report. */
    private findPrefillLoad(pool: PoolId): number {
        return this.options.demand.listFresh().find(each => each.pool === pool)?.readingLoad ?? 0;
    }

    private planPool(pool: PoolId, scaling: ScalingSpec): DueOrder[] {
        const zones = this.listZoneSituations(pool, scaling);
        const { least, most, reclaimablePrice } = scaling;
        const needed = this.needs.get(pool)?.count ?? 0;
        const leastNeeded = Math.ceil(needed * PREFILL_SHARE / MAX_PREFILL_SHARE);
        const targets = planZones({
            zones,
            minPerZone: least,
            maxPerZone: most,
            reclaimablePrice,
            needed,
            minNeeded: leastNeeded,
        });
        return targets.flatMap((target, index) => this.listOrders(pool, scaling, zones[index], target));
    }

    private listOrders(pool: PoolId, scaling: ScalingSpec, zone: PoolZoneState, target: ZoneTarget): DueOrder[] {
        const { steady, reclaimable } = zone;
        const orders: DueOrder[] = [
            { pool, zone: target.zone, count: target.reclaimable, reclaimable: true, ready: reclaimable.ready },
            { pool, zone: target.zone, count: target.steady, reclaimable: false, ready: steady.ready },
        ];
        const resendAfterMs = scaling.bootMs + ANNOUNCE_MARGIN_MS;
        return orders.filter(order => this.isDue(order, resendAfterMs));
    }

    /**
     * Whether an order must be sent or resent. The platform may fulfil an order partially or revert it: it has one limit for both kinds of a
     * zone, so that reclaimable upstreams start only as steady ones stop, and it reclaims reclaimable ones. So an order is resent when its
     * upstreams are missing after their start time, and at once when some of them leave: either others start now, or the platform replies
     * that it has none and steady ones can be ordered seconds before the leaving ones are gone.
     */
    private isDue(order: DueOrder, resendAfterMs: number): boolean {
        const { ready } = order;
        const previous = this.sentOrders.get(formatOrderKey(order));
        if (!previous) return order.count !== ready;
        const now = this.options.clock.monotonic();
        previous.maxReady = Math.max(previous.maxReady, ready);
        if (now < previous.retryAt) return false;
        const isMissing = ready < order.count && (ready < previous.maxReady || now - previous.sentAt >= resendAfterMs);
        return previous.count !== order.count || previous.soldOut || isMissing;
    }

    private listZoneSituations(pool: PoolId, { zonePrices }: ScalingSpec): PoolZoneState[] {
        const upstreams = this.options.registry.list(pool);
        const zones = new Set(upstreams.map(({ zone }) => zone));
        return [...zones].sort().map(zone => {
            const zoneUpstreams = upstreams.filter(upstream => upstream.zone === zone && upstream.isGrantable);
            return {
                zone,
                isEvacuated: this.options.state.zones.isEvacuated(zone),
                price: zonePrices[zone] ?? 1,
                steady: this.countUpstreams(pool, zone, zoneUpstreams, false),
                reclaimable: this.countUpstreams(pool, zone, zoneUpstreams, true),
            };
        });
    }

    private countUpstreams(
        pool: PoolId,
        zone: ZoneId,
        upstreams: readonly Upstream[],
        reclaimable: boolean,
    ): ZoneCount {
        const ready = upstreams.filter(({ announcement }) => announcement.reclaimable === reclaimable).length;
        const ordered = this.sentOrders.get(formatOrderKey({ pool, zone, reclaimable }));
        return { ready, ordered: ordered?.count, soldOut: ordered?.soldOut ?? false };
    }

    private async send({ ready, ...order }: DueOrder, term: HolderTerm): Promise<void> {
        const { sender, logger, platformChecksFence, buildCall, clock } = this.options;
        const sent = await sender.send(buildCall(order, term), () => term.maySend(platformChecksFence));
        const status = sent.map(reply => reply.status).orDefault(0);
        const isTaken = status >= 200 && status < 300;
        const soldOut = status === STATUS_NO_CAPACITY;
        const defaultPauseMs = soldOut ? NO_CAPACITY_BACKOFF_MS : RETRY_DELAY_MS;
        const askedPauseMs = sent.map(reply => reply.retryAfterMs).toMaybe().extract();
        const pauseMs = isTaken ? 0 : Math.min(MAX_PAUSE_MS, askedPauseMs ?? defaultPauseMs);
        const count = isTaken || soldOut ? order.count : undefined;
        const sentAt = clock.monotonic();
        this.sentOrders.set(formatOrderKey(order), {
            count,
            soldOut,
            sentAt,
            retryAt: sentAt + pauseMs,
            maxReady: ready,
        });
        const need = this.needs.get(order.pool)?.count;
        logger.info("size-ordered", { ...order, status, need, token: term.token });
    }
}

function formatOrderKey({ pool, zone, reclaimable }: Omit<SizeOrder, "count">): string {
    return `${pool}\n${zone}\n${reclaimable}`;
}
