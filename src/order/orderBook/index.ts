import type { ApplyContext } from "../../consensus/index.js";
import type { FencingToken, OrderId } from "../../ids/index.js";
import type { EngineOrder, PlatformOrder } from "../../protocol/index.js";

/** How many finished orders are kept for operators to read. */
const FINISHED_KEPT = 500;

/** An order without what the sender adds: id and fencing token. */
export type PlatformOrderBody = Omit<PlatformOrder, "order_id" | "fencing_token">;
export type EngineOrderBody = Omit<EngineOrder, "order_id" | "fencing_token">;

/** Whom an order goes to, and what it says. `address`: the engine's `IP:port`; `checksFence`: it refuses old fencing tokens. */
export type OrderTarget =
    | { readonly to: "platform"; readonly body: PlatformOrderBody; }
    | {
        readonly to: "engine";
        readonly address: string;
        readonly upstream: string;
        readonly checksFence: boolean;
        readonly body: EngineOrderBody;
    };

/** Commits that an order will be sent. */
export interface OrderIntentCommand {
    readonly kind: "order.intent";
    readonly orderId: OrderId;
    readonly fencingToken: FencingToken;
    readonly target: OrderTarget;
    /** Why, for operators. */
    readonly reason: string;
}

/** `done`: accepted. `refused`: the receiver will not do it; sending it again is of no use. */
export type OrderOutcome = "done" | "refused";

/** Commits what came of an order. */
export interface OrderOutcomeCommand {
    readonly kind: "order.outcome";
    readonly orderId: OrderId;
    readonly outcome: OrderOutcome;
    /** The upstreams that the platform named. */
    readonly upstreams: readonly string[];
    readonly detail: string;
}

/** An order, from its intent to its outcome. */
export interface OrderRecord {
    readonly orderId: OrderId;
    readonly fencingToken: FencingToken;
    readonly target: OrderTarget;
    readonly reason: string;
    readonly intendedAt: number;
    readonly outcome?: OrderOutcome;
    readonly upstreams: readonly string[];
    readonly detail: string;
    readonly finishedAt?: number;
}

/** `stale`: a later holder has given orders since. */
export type IntentResult = { readonly state: "open" | "finished" | "stale"; };

export interface OrderSnapshot {
    readonly highestToken: number;
    readonly open: readonly OrderRecord[];
    readonly finished: readonly OrderRecord[];
}

/**
 * The orders given.
 *
 * Guards against an order given twice under two ids when its holder is lost: the intent is committed before anything is
 * sent, so the successor finds it and sends it again under the same id.
 *
 * @example
 * book.intend(command, context);
 */
export class OrderBook {
    private readonly open = new Map<OrderId, OrderRecord>();
    private readonly finished = new Map<OrderId, OrderRecord>();
    private highestToken = 0;

    intend(command: OrderIntentCommand, context: ApplyContext): IntentResult {
        const { orderId, fencingToken, target, reason } = command;
        if (this.finished.has(orderId)) return { state: "finished" };
        if (this.open.has(orderId)) return { state: "open" };
        if (fencingToken < this.highestToken) return { state: "stale" };
        this.highestToken = fencingToken;
        const intendedAt = context.proposedAt;
        this.open.set(orderId, { orderId, fencingToken, target, reason, intendedAt, upstreams: [], detail: "" });
        return { state: "open" };
    }

    /** Keeps the first outcome of an order; later ones change nothing. */
    finish({ orderId, outcome, upstreams, detail }: OrderOutcomeCommand, context: ApplyContext): void {
        const order = this.open.get(orderId);
        if (!order) return;
        this.open.delete(orderId);
        this.finished.set(orderId, { ...order, outcome, upstreams, detail, finishedAt: context.proposedAt });
        for (const oldest of this.finished.keys()) {
            if (this.finished.size <= FINISHED_KEPT) return;
            this.finished.delete(oldest);
        }
    }

    /** Orders without an outcome, in the order of their intents. */
    listOpen(): readonly OrderRecord[] {
        return [...this.open.values()];
    }

    listFinished(): readonly OrderRecord[] {
        return [...this.finished.values()];
    }

    snapshot(): OrderSnapshot {
        return { highestToken: this.highestToken, open: this.listOpen(), finished: this.listFinished() };
    }

    restore(snapshot: OrderSnapshot): void {
        this.open.clear();
        this.finished.clear();
        this.highestToken = snapshot.highestToken;
        for (const order of snapshot.open) this.open.set(order.orderId, order);
        for (const order of snapshot.finished) this.finished.set(order.orderId, order);
    }
}
