import { ControlLog } from "../../consensus/index.js";
import { OrderId } from "../../ids/index.js";
import { OrderIntentCommand, OrderRecord, OrderTarget } from "../../order/index.js";
import { Clock, Random } from "../../ports/index.js";
import { PoolReport } from "../demandReport/index.js";
import { DemandTable } from "../demandTable/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { ControlState } from "../state/index.js";

const RETRY_MS = 200;

/** What a policy gets to know from the control log and the entries. What it needs besides, it gathers itself. */
export interface PurchaseSituation {
    /** Wall time, in milliseconds since the epoch. */
    readonly now: number;
    /** Orders that have no outcome yet: they count as given. */
    readonly openOrders: readonly OrderRecord[];
    /** The latest orders that have one. */
    readonly finishedOrders: readonly OrderRecord[];
    /** The pools of which there is a fresh report; of all others nothing is known. */
    readonly demand: readonly PoolReport[];
}

/** An order that a policy wants given. */
export interface PlannedOrder {
    readonly target: OrderTarget;
    /** Why, for operators. */
    readonly reason: string;
}

/**
 * Decides which upstreams to start and stop, and what engines should load.
 *
 * @example
 * const orders = await policy.plan(situation);
 */
export abstract class PurchasePolicy {
    /** Called by the holder alone, again and again. An order given once shows in the next situation. */
    abstract plan(situation: PurchaseSituation): Promise<readonly PlannedOrder[]>;
}

/** Orders nothing. */
export class NoPurchases extends PurchasePolicy {
    async plan(): Promise<readonly PlannedOrder[]> {
        return [];
    }
}

/** What the runner is made of. */
export interface PurchaseRunnerOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly demand: DemandTable;
    readonly clock: Clock;
    readonly random: Random;
    readonly policy: PurchasePolicy;
    /** How often to ask the policy, in milliseconds. */
    readonly periodMs: number;
}

/**
 * Asks the policy and commits the intents of its orders; the order sender sends them.
 *
 * Guards against upstreams bought twice: an intent whose commit was not confirmed may be in the log all the same. Until it is settled,
 * by proposing the same one again, the policy is not asked anew, for it would not see it and order once more.
 */
export class PurchaseRunner extends HolderTask {
    readonly name = "purchase-runner";
    private unsettled: readonly OrderIntentCommand[] = [];
    private token: number | undefined;

    constructor(private readonly options: PurchaseRunnerOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { state, demand, clock, policy, periodMs } = this.options;
        this.startTerm(term);
        if (!await this.settle(term)) return RETRY_MS;
        const planned = await policy.plan({
            now: clock.now(),
            openOrders: state.orders.listOpen(),
            finishedOrders: state.orders.listFinished(),
            demand: demand.listFresh(),
        });
        this.unsettled = planned.map(order => this.describeIntent(order, term));
        return await this.settle(term) ? periodMs : RETRY_MS;
    }

    /** What an earlier term left unsettled is in the log by now or never will be. */
    private startTerm(term: HolderTerm): void {
        if (this.token === term.token) return;
        this.token = term.token;
        this.unsettled = [];
    }

    private async settle(term: HolderTerm): Promise<boolean> {
        while (this.unsettled.length > 0) {
            if (!term.mayAct()) return false;
            const committed = await this.options.log.propose(this.unsettled[0]);
            if (committed.isLeft()) return false;
            this.unsettled = this.unsettled.slice(1);
        }
        return true;
    }

    private describeIntent({ target, reason }: PlannedOrder, term: HolderTerm): OrderIntentCommand {
        const orderId = this.options.random.id() as OrderId;
        return { kind: "order.intent", orderId, fencingToken: term.token, target, reason };
    }
}
