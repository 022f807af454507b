import { HostId, PoolId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { planZones, ZoneCount, ZoneSituation, ZoneWish } from "../../purchase/index.js";
import { ScalingSpec } from "../../routing/index.js";
import { Upstream, UpstreamRegistry } from "../../upstream/index.js";
import { DemandTable } from "../demandTable/index.js";
import { FencedCall, FencedSender } from "../fencedSender/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { ControlState } from "../state/index.js";

const STEP_MS = 500;
/** The share of an engine's time that may go into reading prompts: above it, streams beside a prompt pause too often. */
const READING_SHARE = 0.35;
/** The share that it may have where only steady upstreams are to be had, which cost more. */
const MOST_READING_SHARE = 0.4;
/** How long a lower need must last before it is believed, in milliseconds: bursts come in rows. */
const CALM_MS = 15_000;
/** How long a platform that has none left is left alone, in milliseconds. */
const SOLD_OUT_MS = 3_000;
/**
 * How long a term first watches, in milliseconds: upstreams announce themselves within little more than a second, but where all has just
 * started some reach a control process only with their third word, and owners report every two seconds.
 */
const WATCH_MS = 4_000;
/** How long an order that got no answer waits before it is sent again, in milliseconds. */
const RETRY_MS = 1_000;
/** How long after their start new upstreams have made themselves known, in milliseconds. */
const RENEW_MARGIN_MS = 1_500;
const STATUS_NONE_LEFT = 409;
/** The fencing token of the first holder that there ever was. */
const FIRST_TOKEN = 1;
/** Upstreams beyond what there is, for a load that nobody has seen yet: cheap beside a first burst that finds too few. */
const UNKNOWN_LOAD_SPARE = 1;

/** A wanted number of upstreams. */
export interface SizeOrder {
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly count: number;
    /** Of those that the platform may take back at short notice. */
    readonly reclaimable: boolean;
}

/** What the sizer is made of. */
export interface PoolSizerOptions {
    readonly self: { readonly host: HostId; };
    readonly clock: Clock;
    readonly logger: Logger;
    readonly state: ControlState;
    readonly registry: UpstreamRegistry;
    readonly demand: DemandTable;
    readonly sender: FencedSender;
    readonly platformChecksFence: boolean;
    /** Writes an order as the platform takes it. */
    readonly describe: (order: SizeOrder, term: HolderTerm) => FencedCall;
}

interface Ordered {
    /** Undefined: the order got no answer, and may have been taken or not. */
    readonly count: number | undefined;
    /** Monotonic, in milliseconds. */
    readonly sentAt: number;
    readonly retryAt: number;
    readonly soldOut: boolean;
    /** The most that were ready at a time since then. */
    mostReady: number;
}

/** An order to be sent now. */
interface DueOrder extends SizeOrder {
    readonly ready: number;
}

interface Need {
    count: number;
    /** Monotonic time at which it was last this high, in milliseconds. */
    highAt: number;
}

/**
 * Keeps each pool at the size that its load needs, by orders of a wanted number for each zone and kind. An order that is sent twice
 * changes nothing, so nothing of it stands in the log: a new holder sends each order once more.
 */
export class PoolSizer extends HolderTask {
    readonly name = "pool-sizer";
    private readonly ordered = new Map<string, Ordered>();
    private readonly needs = new Map<PoolId, Need>();
    private token: number | undefined;
    private termStartedAt = 0;

    constructor(private readonly options: PoolSizerOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { state, platformChecksFence } = this.options;
        this.startTerm(term);
        this.watch();
        const isWatching = this.options.clock.monotonic() - this.termStartedAt < WATCH_MS;
        if (isWatching && term.token !== FIRST_TOKEN) return STEP_MS;
        for (const { pool, scaling } of state.documents.held?.document.pools ?? []) {
            if (!scaling) continue;
            const orders = this.planPool(pool, scaling);
            for (const due of isWatching ? orders.filter(order => this.onlyAdds(order)) : orders) {
                if (!term.maySend(platformChecksFence)) return STEP_MS;
                await this.send(due, term);
            }
        }
        return STEP_MS;
    }

    /**
     * Whether an order can't take anything away while the first holder of all still watches: nobody has ordered reclaimable upstreams before it,
     * so that the platform has none but those it has ordered itself. They start meanwhile, and steady ones are paid for some seconds less.
     */
    private onlyAdds(order: DueOrder): boolean {
        const before = this.ordered.get(nameOf(order))?.count ?? 0;
        return order.reclaimable && order.count > Math.max(before, order.ready);
    }

    /** What an earlier term ordered was perhaps overtaken by another holder's orders. */
    private startTerm({ token }: HolderTerm): void {
        if (this.token === token) return;
        this.token = token;
        this.termStartedAt = this.options.clock.monotonic();
        this.ordered.clear();
        this.needs.clear();
    }

    /**
     * Follows what each pool needs.
     *
     * Guards against a pool that is shrunk for want of news: a new holder hears of upstreams one by one, and of the load later still.
     * While it watches, a pool needs as many as it has, however few have made themselves known so far; and a load that is
     * not there yet, as before the first callers come, has to stay away for as long as any lull.
     */
    private watch(): void {
        const now = this.options.clock.monotonic();
        const isFirst = now - this.termStartedAt < WATCH_MS;
        for (const { pool, scaling } of this.options.state.documents.held?.document.pools ?? []) {
            if (!scaling) continue;
            const present = isFirst ? this.countNeedOfPresent(pool, scaling) : 0;
            const count = Math.max(present, Math.ceil(this.readLoad(pool) / READING_SHARE));
            const need = this.needs.get(pool);
            const isHigh = !need || count >= need.count || now - need.highAt >= CALM_MS;
            if (isHigh) this.needs.set(pool, { count, highAt: now });
        }
    }

    /** The need for which a pool of its present size would have been planned, and a little more: its load is not known. */
    private countNeedOfPresent(pool: PoolId, scaling: ScalingSpec): number {
        const zones = this.describeZones(pool, scaling);
        const present = zones.reduce((sum, { steady, reclaimable }) => sum + steady.ready + reclaimable.ready, 0);
        const perZone = zones.length === 0 ? 0 : present / zones.length;
        return Math.ceil(perZone * Math.max(1, zones.length - 1)) + UNKNOWN_LOAD_SPARE;
    }

    /** How many upstreams' time the prompts of the last seconds take to read by the last report; 0 without one. */
    private readLoad(pool: PoolId): number {
        return this.options.demand.listFresh().find(each => each.pool === pool)?.readingLoad ?? 0;
    }

    private planPool(pool: PoolId, scaling: ScalingSpec): DueOrder[] {
        const zones = this.describeZones(pool, scaling);
        const { least, most, reclaimablePrice } = scaling;
        const needed = this.needs.get(pool)?.count ?? 0;
        const leastNeeded = Math.ceil(needed * READING_SHARE / MOST_READING_SHARE);
        const wishes = planZones({ zones, least, most, reclaimablePrice, needed, leastNeeded });
        return wishes.flatMap((wish, at) => this.listOrders(pool, scaling, zones[at], wish));
    }

    private listOrders(pool: PoolId, scaling: ScalingSpec, zone: ZoneSituation, wish: ZoneWish): DueOrder[] {
        const { steady, reclaimable } = zone;
        const orders: DueOrder[] = [
            { pool, zone: wish.zone, count: wish.reclaimable, reclaimable: true, ready: reclaimable.ready },
            { pool, zone: wish.zone, count: wish.steady, reclaimable: false, ready: steady.ready },
        ];
        const renewMs = scaling.bootMs + RENEW_MARGIN_MS;
        return orders.filter(order => this.isDue(order, renewMs));
    }

    /**
     * Guards against an order that the platform took in part, or that it has undone since: it keeps both kinds of a zone under one
     * bound, so that reclaimable ones come only as steady ones go, and it takes reclaimable ones back. An order whose upstreams are not
     * there after the time in which they start is sent again, and at once when some of them leave: either others start now, or the
     * platform says that it has none, and steady ones can be ordered seconds before those that leave are gone.
     */
    private isDue(order: DueOrder, renewMs: number): boolean {
        const { ready } = order;
        const known = this.ordered.get(nameOf(order));
        if (!known) return order.count !== ready;
        const now = this.options.clock.monotonic();
        known.mostReady = Math.max(known.mostReady, ready);
        if (now < known.retryAt) return false;
        const isMissing = ready < order.count && (ready < known.mostReady || now - known.sentAt >= renewMs);
        return known.count !== order.count || known.soldOut || isMissing;
    }

    private describeZones(pool: PoolId, { zonePrices }: ScalingSpec): ZoneSituation[] {
        const upstreams = this.options.registry.list(pool);
        const zones = new Set(upstreams.map(({ zone }) => zone));
        return [...zones].sort().map(zone => {
            const here = upstreams.filter(upstream => upstream.zone === zone && upstream.isGrantable);
            return {
                zone,
                isEvacuated: this.options.state.zones.isEvacuated(zone),
                price: zonePrices[zone] ?? 1,
                steady: this.count(pool, zone, here, false),
                reclaimable: this.count(pool, zone, here, true),
            };
        });
    }

    private count(pool: PoolId, zone: ZoneId, upstreams: readonly Upstream[], reclaimable: boolean): ZoneCount {
        const ready = upstreams.filter(({ announcement }) => announcement.reclaimable === reclaimable).length;
        const ordered = this.ordered.get(nameOf({ pool, zone, reclaimable }));
        return { ready, ordered: ordered?.count, soldOut: ordered?.soldOut ?? false };
    }

    private async send({ ready, ...order }: DueOrder, term: HolderTerm): Promise<void> {
        const { sender, logger, platformChecksFence, describe, clock } = this.options;
        const sent = await sender.send(describe(order, term), () => term.maySend(platformChecksFence));
        const status = sent.map(reply => reply.status).orDefault(0);
        const isTaken = status >= 200 && status < 300;
        const soldOut = status === STATUS_NONE_LEFT;
        const pauseMs = soldOut ? SOLD_OUT_MS : isTaken ? 0 : RETRY_MS;
        const count = isTaken || soldOut ? order.count : undefined;
        const sentAt = clock.monotonic();
        this.ordered.set(nameOf(order), { count, soldOut, sentAt, retryAt: sentAt + pauseMs, mostReady: ready });
        const need = this.needs.get(order.pool)?.count;
        logger.info("size-ordered", { ...order, status, need, token: term.token });
    }
}

function nameOf({ pool, zone, reclaimable }: Omit<SizeOrder, "count">): string {
    return `${pool}\n${zone}\n${reclaimable}`;
}
