import { Clock } from "../../ports/index.js";
import { Offer, PlatformOrder, PlatformOrderReply } from "../../protocol/index.js";
import { OrderLog } from "../orderLog/index.js";
import { UpstreamProvisioner } from "../upstreamProvisioner/index.js";

/** Upstream that the platform bills: started by an order, or running from the start. */
interface Rental {
    readonly id: string;
    readonly offer: Offer;
    /** Start of the billed time, in milliseconds on the monotonic clock. */
    readonly startedAt: number;
    /** End of the billed time, in the future during a reclaim notice; undefined while it runs. */
    stoppedAt: number | undefined;
}

/** Statistics of the platform's orders. */
export interface OrderStats {
    /** Orders received, resends included. */
    readonly received: number;
    /** Orders refused for an old fencing token. */
    readonly stale: number;
    /** Accepted orders whose id had been accepted before. */
    readonly repeats: number;
    /** Orders accepted although an earlier order had a newer fencing token. */
    readonly reversals: number;
    /** Upstreams billed so far, those that run from the start included. */
    readonly started: number;
    /** Upstreams stopped, or with notice of a reclaim. */
    readonly stopped: number;
    /** Upstreams neither stopped nor with notice of a reclaim. */
    readonly running: number;
    /** Cost of the upstreams so far, billed minimums included, in micro-credits. */
    readonly spent: number;
}

/** The order can't be executed. */
export class OrderError extends Error {
    /** @param reason - Error code. */
    constructor(readonly reason: "stale" | "no-offer" | "unavailable" | "unknown-upstream") {
        super(reason);
    }
}

const MS_PER_HOUR = 3_600_000;

/** Executes the platform's orders; keeps its offers, the upstreams that it bills and their cost. */
export class OrderReceiver {
    readonly log: OrderLog;
    private readonly rentals = new Map<string, Rental>();
    private readonly replies = new Map<string, PlatformOrderReply>();
    private offers: readonly Offer[];
    private nextNumber = 1;

    /**
     * @param clock - Times starts and billing.
     * @param provisioner - Starts and stops the upstreams.
     * @param offers - Initial offers.
     * @param checksFence - Whether orders with an old fencing token are refused.
     */
    constructor(
        private readonly clock: Clock,
        private readonly provisioner: UpstreamProvisioner,
        offers: readonly Offer[],
        checksFence: boolean,
    ) {
        this.offers = offers;
        this.log = new OrderLog(checksFence);
    }

    /** Returns the current offers. */
    listOffers(): readonly Offer[] {
        return this.offers;
    }

    /** Replaces the offers. */
    setOffers(offers: readonly Offer[]): void {
        this.offers = offers;
    }

    /**
     * Executes an order; a repeated order id gets the first reply again.
     *
     * @param order - Order to execute.
     * @returns Reply to the order.
     * @throws OrderError if it can't be executed.
     */
    execute(order: PlatformOrder): PlatformOrderReply {
        const target = order.upstream ?? `${order.zone}/${order.pool}`;
        const verdict = this.log.receive(
            { orderId: order.order_id, fencingToken: order.fencing_token, action: order.action, target },
            this.clock.monotonic(),
        );
        if (verdict === "stale") throw new OrderError("stale");
        const previousReply = this.replies.get(order.order_id);
        if (previousReply) return previousReply;
        const upstreams = order.action === "start" ? this.start(order) : this.stop(order);
        const reply = { order_id: order.order_id, upstreams };
        this.replies.set(order.order_id, reply);
        return reply;
    }

    /** Starts to bill an upstream that runs without an order. */
    addRunning(id: string, offer: Offer): void {
        this.rentals.set(id, { id, offer, startedAt: this.clock.monotonic(), stoppedAt: undefined });
    }

    /** Returns the offer that an upstream is billed by, or undefined if the id is unknown. */
    offerOf(id: string): Offer | undefined {
        return this.rentals.get(id)?.offer;
    }

    /** Reclaims a zone's reclaimable upstreams after the notice, and sets their availability in this zone to 0. */
    reclaimZone(zone: string, noticeMs: number): void {
        this.offers = this.offers.map(offer =>
            offer.zone === zone && offer.reclaimable ? { ...offer, available: 0 } : offer
        );
        for (const rental of this.rentals.values()) {
            if (rental.offer.zone !== zone || !rental.offer.reclaimable || rental.stoppedAt !== undefined) continue;
            rental.stoppedAt = this.clock.monotonic() + noticeMs;
            this.provisioner.reclaim(rental.id, noticeMs);
        }
    }

    /** Returns the statistics so far. */
    stats(): OrderStats {
        const rentals = [...this.rentals.values()];
        const { orders } = this.log;
        return {
            received: orders.length,
            stale: orders.filter(order => order.verdict === "stale").length,
            repeats: orders.filter(order => order.verdict === "repeat").length,
            reversals: this.log.countReversals(),
            started: rentals.length,
            stopped: rentals.filter(rental => rental.stoppedAt !== undefined).length,
            running: rentals.filter(rental => rental.stoppedAt === undefined).length,
            spent: rentals.reduce((sum, rental) => sum + this.costOf(rental), 0),
        };
    }

    private start(order: PlatformOrder): string[] {
        const startCount = order.count ?? 1;
        const offer = this.offers.find(candidate =>
            candidate.zone === order.zone && candidate.pool === order.pool
            && candidate.reclaimable === order.reclaimable
        );
        if (!offer) throw new OrderError("no-offer");
        if (offer.available < startCount) throw new OrderError("unavailable");
        this.changeAvailable(offer, -startCount);
        return Array.from({ length: startCount }, () => this.startOne(offer));
    }

    private startOne(offer: Offer): string {
        const id = `${offer.pool}-${offer.zone}-p${this.nextNumber++}`;
        const rental: Rental = { id, offer, startedAt: this.clock.monotonic(), stoppedAt: undefined };
        this.rentals.set(id, rental);
        this.clock.after(offer.start_ms, () => {
            if (rental.stoppedAt === undefined) void this.provisioner.start({ id, offer });
        });
        return id;
    }

    private stop(order: PlatformOrder): string[] {
        const rental = this.rentals.get(order.upstream ?? "");
        if (!rental) throw new OrderError("unknown-upstream");
        if (rental.stoppedAt !== undefined) return [rental.id];
        rental.stoppedAt = this.clock.monotonic();
        this.changeAvailable(rental.offer, 1);
        void this.provisioner.stop(rental.id);
        return [rental.id];
    }

    private changeAvailable(changed: Offer, delta: number): void {
        this.offers = this.offers.map(offer =>
            offer.zone === changed.zone && offer.pool === changed.pool && offer.reclaimable === changed.reclaimable
                ? { ...offer, available: Math.max(0, offer.available + delta) }
                : offer
        );
    }

    private costOf(rental: Rental): number {
        const endMs = rental.stoppedAt ?? this.clock.monotonic();
        const billedMs = Math.max(rental.offer.billed_minimum_ms, endMs - rental.startedAt);
        return billedMs / MS_PER_HOUR * rental.offer.price_per_hour;
    }
}
