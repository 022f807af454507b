import { Clock } from "../../ports/index.js";
import { Offer, PlatformOrder, PlatformOrderReply } from "../../protocol/index.js";
import { Fleet } from "../fleet/index.js";
import { OrderLog } from "../orderLog/index.js";

/** One upstream that an order started. */
interface Leased {
    readonly id: string;
    readonly offer: Offer;
    /** Milliseconds on the monotonic clock. */
    readonly startedAt: number;
    stoppedAt: number | undefined;
}

/** What the orders came to up to now. */
export interface OrderStats {
    readonly received: number;
    readonly stale: number;
    readonly repeats: number;
    /** Orders obeyed with an older fencing token than one before. */
    readonly reversals: number;
    readonly started: number;
    readonly stopped: number;
    /** Upstreams billed now. */
    readonly running: number;
    /** What the upstreams cost up to now, billed minimums included, in micro-credits. */
    readonly spent: number;
}

/** An order that can't be obeyed. */
export class OrderError extends Error {
    /** @param reason - What is wrong, in a word. */
    constructor(readonly reason: "stale" | "no-offer" | "unavailable" | "unknown-upstream") {
        super(reason);
    }
}

const MS_PER_HOUR = 3_600_000;

/** The platform's orders: what is on offer, what runs, and what it costs. */
export class OrderReceiver {
    readonly log: OrderLog;
    private readonly leased = new Map<string, Leased>();
    private readonly replies = new Map<string, PlatformOrderReply>();
    private offers: readonly Offer[];
    private nextNumber = 1;

    /**
     * @param clock - Time for starts and bills.
     * @param fleet - Starts and stops the upstreams.
     * @param offers - What is on offer at first.
     * @param checksFence - Whether old fencing tokens are refused.
     */
    constructor(
        private readonly clock: Clock,
        private readonly fleet: Fleet,
        offers: readonly Offer[],
        checksFence: boolean,
    ) {
        this.offers = offers;
        this.log = new OrderLog(checksFence);
    }

    /** What can be had now. */
    list(): readonly Offer[] {
        return this.offers;
    }

    /** Changes what is on offer. */
    setOffers(offers: readonly Offer[]): void {
        this.offers = offers;
    }

    /**
     * Obeys an order; one whose id was obeyed before gets its first answer again.
     *
     * @param order - The order.
     * @returns The answer.
     * @throws OrderError when it can't be obeyed.
     */
    obey(order: PlatformOrder): PlatformOrderReply {
        const target = order.upstream ?? `${order.zone}/${order.pool}`;
        const verdict = this.log.receive(
            { orderId: order.order_id, fencingToken: order.fencing_token, action: order.action, target },
            this.clock.monotonic(),
        );
        if (verdict === "stale") throw new OrderError("stale");
        const first = this.replies.get(order.order_id);
        if (first) return first;
        const upstreams = order.action === "start" ? this.start(order) : this.stop(order);
        const reply = { order_id: order.order_id, upstreams };
        this.replies.set(order.order_id, reply);
        return reply;
    }

    /** Bills an upstream that runs without an order. */
    adopt(id: string, offer: Offer): void {
        this.leased.set(id, { id, offer, startedAt: this.clock.monotonic(), stoppedAt: undefined });
    }

    /** What an upstream was started by, or undefined. */
    offerOf(id: string): Offer | undefined {
        return this.leased.get(id)?.offer;
    }

    /** Takes a zone's reclaimable upstreams back, and offers none there from now on. */
    reclaimZone(zone: string, noticeMs: number): void {
        this.offers = this.offers.map(offer =>
            offer.zone === zone && offer.reclaimable ? { ...offer, available: 0 } : offer
        );
        for (const lease of this.leased.values()) {
            if (lease.offer.zone !== zone || !lease.offer.reclaimable || lease.stoppedAt !== undefined) continue;
            lease.stoppedAt = this.clock.monotonic() + noticeMs;
            this.fleet.reclaim(lease.id, noticeMs);
        }
    }

    /** What the orders came to up to now. */
    stats(): OrderStats {
        const leased = [...this.leased.values()];
        const { orders } = this.log;
        return {
            received: orders.length,
            stale: orders.filter(order => order.verdict === "stale").length,
            repeats: orders.filter(order => order.verdict === "repeat").length,
            reversals: this.log.countReversals(),
            started: leased.length,
            stopped: leased.filter(lease => lease.stoppedAt !== undefined).length,
            running: leased.filter(lease => lease.stoppedAt === undefined).length,
            spent: leased.reduce((sum, lease) => sum + this.bill(lease), 0),
        };
    }

    private start(order: PlatformOrder): string[] {
        const count = order.count ?? 1;
        const offer = this.offers.find(candidate =>
            candidate.zone === order.zone && candidate.pool === order.pool
            && candidate.reclaimable === order.reclaimable
        );
        if (!offer) throw new OrderError("no-offer");
        if (offer.available < count) throw new OrderError("unavailable");
        this.changeAvailable(offer, -count);
        return Array.from({ length: count }, () => this.startOne(offer));
    }

    private startOne(offer: Offer): string {
        const id = `${offer.pool}-${offer.zone}-p${this.nextNumber++}`;
        const lease: Leased = { id, offer, startedAt: this.clock.monotonic(), stoppedAt: undefined };
        this.leased.set(id, lease);
        this.clock.after(offer.start_ms, () => {
            if (lease.stoppedAt === undefined) void this.fleet.start({ id, offer });
        });
        return id;
    }

    private stop(order: PlatformOrder): string[] {
        const lease = this.leased.get(order.upstream ?? "");
        if (!lease) throw new OrderError("unknown-upstream");
        if (lease.stoppedAt !== undefined) return [lease.id];
        lease.stoppedAt = this.clock.monotonic();
        this.changeAvailable(lease.offer, 1);
        void this.fleet.stop(lease.id);
        return [lease.id];
    }

    private changeAvailable(changed: Offer, by: number): void {
        this.offers = this.offers.map(offer =>
            offer.zone === changed.zone && offer.pool === changed.pool && offer.reclaimable === changed.reclaimable
                ? { ...offer, available: Math.max(0, offer.available + by) }
                : offer
        );
    }

    private bill(lease: Leased): number {
        const end = lease.stoppedAt ?? this.clock.monotonic();
        const ms = Math.max(lease.offer.billed_minimum_ms, end - lease.startedAt);
        return ms / MS_PER_HOUR * lease.offer.price_per_hour;
    }
}
