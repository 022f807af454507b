import type { ApplyContext } from "../../consensus/index.js";
import type { FencingToken, OrderId } from "../../ids/index.js";
import type { EngineOrder, PlatformOrder } from "../../protocol/index.js";

/** Maximum number of finished orders kept for operators. */
const MAX_FINISHED_ORDERS = 500;

/** A platform order without the fields that the sender adds: id and fencing token. */
export type PlatformOrderBody = Omit<PlatformOrder, "order_id" | "fencing_token">;
/** An engine order without the fields that the sender adds: id and fencing token. */
export type EngineOrderBody = Omit<EngineOrder, "order_id" | "fencing_token">;

/**
 * The receiver of an order and its content. `address`: the engine's `IP:port`; `checksFence`: whether it refuses orders
 * with an old fencing token.
 */
export type OrderTarget =
    | { readonly to: "platform"; readonly body: PlatformOrderBody; }
    | {
        readonly to: "engine";
        readonly address: string;
        readonly upstream: string;
        readonly checksFence: boolean;
        readonly body: EngineOrderBody;
    };

/** Commits the intent to send an order. */
export interface OrderIntentCommand {
    readonly kind: "order.intent";
    readonly orderId: OrderId;
    readonly fencingToken: FencingToken;
    readonly target: OrderTarget;
    /** The reason for the order, for operators. */
    readonly reason: string;
}

/** `done`: accepted by the receiver. `refused`: the receiver will not execute it; sending it again is useless. */
export type OrderOutcome = "done" | "refused";

/** Commits the outcome of an order. */
export interface OrderOutcomeCommand {
    readonly kind: "order.outcome";
    readonly orderId: OrderId;
    readonly outcome: OrderOutcome;
    /** The upstreams that the platform named in its answer. */
    readonly upstreams: readonly string[];
    readonly detail: string;
}

/** The record of an order, from its intent to its outcome. */
export interface OrderRecord {
    readonly orderId: OrderId;
    readonly fencingToken: FencingToken;
    readonly target: OrderTarget;
    readonly reason: string;
    /** Time at which the intent was proposed, in milliseconds since the epoch. */
    readonly intendedAt: number;
    readonly outcome?: OrderOutcome;
    readonly upstreams: readonly string[];
    readonly detail: string;
    /** Time at which the outcome was proposed, in milliseconds since the epoch; undefined while the order is open. */
    readonly finishedAt?: number;
}

/**
 * The state of an order after its intent was applied. `stale`: a later holder of the control lease has given orders
 * since, and the intent was not recorded.
 */
export type IntentResult = { readonly state: "open" | "finished" | "stale"; };

/** Snapshot of the recorded orders. */
export interface OrderSnapshot {
    /** The highest fencing token of any order. */
    readonly highestToken: number;
    readonly open: readonly OrderRecord[];
    readonly finished: readonly OrderRecord[];
}

/**
 * Replicated record of the orders to the platform and to engines.
 *
 * Prevents an order from being given twice under two ids when its holder is lost: the intent is committed before
 * anything is sent, so that the successor finds it and sends it again under the same id.
 *
 * @example
 * ledger.intend(command, context);
 */
export class OrderLedger {
    private readonly open = new Map<OrderId, OrderRecord>();
    private readonly finished = new Map<OrderId, OrderRecord>();
    private highestToken = 0;

    /** Records the intent to send an order; an order that is already recorded is left unchanged. */
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

    /** Records the outcome of an order. Only the first one counts; later ones are ignored. */
    finish({ orderId, outcome, upstreams, detail }: OrderOutcomeCommand, context: ApplyContext): void {
        const order = this.open.get(orderId);
        if (!order) return;
        this.open.delete(orderId);
        this.finished.set(orderId, { ...order, outcome, upstreams, detail, finishedAt: context.proposedAt });
        for (const oldest of this.finished.keys()) {
            if (this.finished.size <= MAX_FINISHED_ORDERS) return;
            this.finished.delete(oldest);
        }
    }

    /** Returns the orders without an outcome, in the order of their intents. */
    listOpen(): readonly OrderRecord[] {
        return [...this.open.values()];
    }

    /** Returns the newest finished orders, in the order of their outcomes. */
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
