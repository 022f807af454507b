import PQueue from "p-queue";
import { Either } from "purify-ts";
import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { OrderOutcomeCommand, OrderRecord } from "../../order/index.js";
import { Address, Clock, parseAddress } from "../../ports/index.js";
import {
    ENGINE_PATHS,
    PLATFORM_PATHS,
    PLATFORM_UNAVAILABLE,
    platformErrorSchema,
    platformOrderReplySchema,
} from "../../protocol/index.js";
import { ControlState } from "../controlState/index.js";
import { FencedCall, FencedReply, FencedSender, FencedSendError } from "../fencedSender/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";

const PAUSE_MS = 100;
const RETRY_DELAY_MS = 500;
const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY_REQUESTS = 429;
/** Maximum number of receivers that are sent to concurrently; the orders of one receiver are sent sequentially. */
const MAX_CONCURRENT_RECEIVERS = 8;
/** Time after which an engine that can't be reached with an order counts as gone, in milliseconds. */
const ENGINE_ORDER_TIMEOUT_MS = 5 * 60_000;

/** Options of `OrderSender`. */
export interface OrderSenderOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly sender: FencedSender;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Address of the platform's API. */
    readonly platform: Address;
    /** The platform refuses orders with an outdated fencing token. */
    readonly platformChecksFence: boolean;
}

/**
 * Sends orders whose intent is committed and commits their outcomes. An order without an outcome, including one of an earlier holder, is
 * resent under the same order id until it has one.
 */
export class OrderSender extends HolderTask {
    readonly name = "order-sender";

    constructor(private readonly options: OrderSenderOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const open = this.options.state.orders.listOpen();
        if (open.length === 0) return PAUSE_MS;
        const queue = new PQueue({ concurrency: MAX_CONCURRENT_RECEIVERS });
        const receivers = groupByReceiver(open);
        const results = await queue.addAll(receivers.map(orders => () => this.sendInOrder(orders, term)));
        return results.every(done => done) ? PAUSE_MS : RETRY_DELAY_MS;
    }

    /** @returns False as soon as an order must be resent; the orders after it wait for it. */
    private async sendInOrder(orders: readonly OrderRecord[], term: HolderTerm): Promise<boolean> {
        for (const order of orders) {
            if (!await this.sendOne(order, term)) return false;
        }
        return true;
    }

    private async sendOne(order: OrderRecord, term: HolderTerm): Promise<boolean> {
        const { log, sender, logger } = this.options;
        const checksFence = this.checksFence(order);
        if (!term.maySend(checksFence)) return false;
        const call = this.buildCall(order, term);
        const sent = call
            ? await sender.send(call, () => term.maySend(checksFence))
            : undefined;
        const outcome = sent ? this.evaluateReply(order, sent) : toRefusedOutcome(order, "the address can't be read");
        if (!outcome) return false;
        logger.info("order-finished", { order: order.orderId, outcome: outcome.outcome, detail: outcome.detail });
        const committed = await log.propose(outcome);
        return committed.isRight();
    }

    private checksFence({ target }: OrderRecord): boolean {
        return target.to === "platform" ? this.options.platformChecksFence : target.checksFence;
    }

    private buildCall({ orderId, target }: OrderRecord, term: HolderTerm): FencedCall | undefined {
        const body = { ...target.body, order_id: orderId, fencing_token: term.token };
        if (target.to === "platform") return { address: this.options.platform, path: PLATFORM_PATHS.orders, body };
        const address = parseAddress(target.address);
        return address && { address, path: ENGINE_PATHS.orders, body };
    }

    /** @returns The outcome to commit; undefined when the order must be resent. */
    private evaluateReply(
        order: OrderRecord,
        sent: Either<FencedSendError, FencedReply>,
    ): OrderOutcomeCommand | undefined {
        const reply = sent.toMaybe().extract();
        if (!reply) return this.refuseIfEngineGone(order);
        const { status, body } = reply;
        if (status >= 200 && status < 300) return toDoneOutcome(order, body);
        // 409 for a stale token: a later holder has acted and will resend this order; this term is about to end.
        const shouldRetry = isStaleToken(reply) || status === STATUS_TOO_MANY_REQUESTS || status >= 500;
        return shouldRetry ? undefined : toRefusedOutcome(order, `status ${status}`);
    }

    private refuseIfEngineGone(order: OrderRecord): OrderOutcomeCommand | undefined {
        const waitedMs = this.options.clock.now() - order.intendedAt;
        const isGone = order.target.to === "engine" && waitedMs > ENGINE_ORDER_TIMEOUT_MS;
        return isGone ? toRefusedOutcome(order, "the engine can't be reached") : undefined;
    }
}

/**
 * Whether the receiver refused an outdated fencing token. The platform also replies 409 to a start beyond its remaining capacity, for
 * instance when a zone's cheap capacity was reclaimed between reading the offers and the order. Retrying such an order would block all
 * later ones, including replacements in other zones.
 */
function isStaleToken({ status, body }: FencedReply): boolean {
    if (status !== STATUS_CONFLICT) return false;
    const parsed = platformErrorSchema.safeParse(body);
    return !parsed.success || parsed.data.error !== PLATFORM_UNAVAILABLE;
}

function groupByReceiver(orders: readonly OrderRecord[]): readonly OrderRecord[][] {
    const groups = new Map<string, OrderRecord[]>();
    for (const order of orders) {
        const receiver = order.target.to === "platform" ? "platform" : order.target.address;
        groups.set(receiver, [...groups.get(receiver) ?? [], order]);
    }
    return [...groups.values()];
}

function toDoneOutcome({ orderId }: OrderRecord, body: unknown): OrderOutcomeCommand {
    const parsed = platformOrderReplySchema.safeParse(body);
    const upstreams = parsed.success ? parsed.data.upstreams : [];
    return { kind: "order.outcome", orderId, outcome: "done", upstreams, detail: "" };
}

function toRefusedOutcome({ orderId }: OrderRecord, detail: string): OrderOutcomeCommand {
    return { kind: "order.outcome", orderId, outcome: "refused", upstreams: [], detail };
}
