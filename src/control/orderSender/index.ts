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
import { FencedCall, FencedReply, FencedSender, FencedSendError } from "../fencedSender/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { ControlState } from "../state/index.js";

const PAUSE_MS = 100;
const RETRY_MS = 500;
const STATUS_CONFLICT = 409;
const STATUS_BUSY = 429;
/** How many receivers are sent to at a time; the orders of one receiver go one after the other. */
const RECEIVERS_AT_ONCE = 8;
/** An engine that takes no order for this long has gone, in milliseconds. */
const ENGINE_PATIENCE_MS = 5 * 60_000;

/** What the sender is made of. */
export interface OrderSenderOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly sender: FencedSender;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly platform: Address;
    /** The platform refuses orders with an old fencing token. */
    readonly platformChecksFence: boolean;
}

/**
 * Sends orders whose intent is committed, and commits what came of them. An order without an outcome, also one of an
 * earlier holder, is sent again under its own id until it has one.
 */
export class OrderSender extends HolderTask {
    readonly name = "order-sender";

    constructor(private readonly options: OrderSenderOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const open = this.options.state.orders.listOpen();
        if (open.length === 0) return PAUSE_MS;
        const queue = new PQueue({ concurrency: RECEIVERS_AT_ONCE });
        const receivers = groupByReceiver(open);
        const results = await queue.addAll(receivers.map(orders => () => this.sendInTurn(orders, term)));
        return results.every(done => done) ? PAUSE_MS : RETRY_MS;
    }

    /** @returns False as soon as one order must be sent again: those after it wait for it. */
    private async sendInTurn(orders: readonly OrderRecord[], term: HolderTerm): Promise<boolean> {
        for (const order of orders) {
            if (!await this.sendOne(order, term)) return false;
        }
        return true;
    }

    private async sendOne(order: OrderRecord, term: HolderTerm): Promise<boolean> {
        const { log, sender, logger } = this.options;
        const checksFence = this.checksFence(order);
        if (!term.maySend(checksFence)) return false;
        const call = this.describeCall(order, term);
        const sent = call
            ? await sender.send(call, () => term.maySend(checksFence))
            : undefined;
        const outcome = sent ? this.judge(order, sent) : refuse(order, "the address can't be read");
        if (!outcome) return false;
        logger.info("order-finished", { order: order.orderId, outcome: outcome.outcome, detail: outcome.detail });
        const committed = await log.propose(outcome);
        return committed.isRight();
    }

    private checksFence({ target }: OrderRecord): boolean {
        return target.to === "platform" ? this.options.platformChecksFence : target.checksFence;
    }

    private describeCall({ orderId, target }: OrderRecord, term: HolderTerm): FencedCall | undefined {
        const body = { ...target.body, order_id: orderId, fencing_token: term.token };
        if (target.to === "platform") return { address: this.options.platform, path: PLATFORM_PATHS.orders, body };
        const address = parseAddress(target.address);
        return address && { address, path: ENGINE_PATHS.orders, body };
    }

    /** @returns The outcome to commit; undefined when the order must be sent again. */
    private judge(
        order: OrderRecord,
        sent: Either<FencedSendError, FencedReply>,
    ): OrderOutcomeCommand | undefined {
        const reply = sent.toMaybe().extract();
        if (!reply) return this.giveUpOnEngine(order);
        const { status, body } = reply;
        if (status >= 200 && status < 300) return accept(order, body);
        // 409: a later holder has acted. It sends this order again; here the term is about to end.
        const again = isStale(reply) || status === STATUS_BUSY || status >= 500;
        return again ? undefined : refuse(order, `status ${status}`);
    }

    private giveUpOnEngine(order: OrderRecord): OrderOutcomeCommand | undefined {
        const waited = this.options.clock.now() - order.intendedAt;
        const isGone = order.target.to === "engine" && waited > ENGINE_PATIENCE_MS;
        return isGone ? refuse(order, "the engine can't be reached") : undefined;
    }
}

/**
 * Guards against a queue of orders that stands still: the platform also answers 409 to a start beyond what it has left, for
 * instance when a zone's cheap capacity was taken back between the look at the offers and the order. Sent again, that
 * order would keep all later ones waiting, replacements in other zones among them.
 */
function isStale({ status, body }: FencedReply): boolean {
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

function accept({ orderId }: OrderRecord, body: unknown): OrderOutcomeCommand {
    const parsed = platformOrderReplySchema.safeParse(body);
    const upstreams = parsed.success ? parsed.data.upstreams : [];
    return { kind: "order.outcome", orderId, outcome: "done", upstreams, detail: "" };
}

function refuse({ orderId }: OrderRecord, detail: string): OrderOutcomeCommand {
    return { kind: "order.outcome", orderId, outcome: "refused", upstreams: [], detail };
}
