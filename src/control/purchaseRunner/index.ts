import { ControlLog } from "../../consensus/index.js";
import { OrderId } from "../../ids/index.js";
import { OrderIntentCommand, OrderRecord, OrderTarget } from "../../order/index.js";
import { Clock, Random } from "../../ports/index.js";
import { ControlState } from "../controlState/index.js";
import { PoolReport } from "../demandReport/index.js";
import { DemandTable } from "../demandTable/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";

const RETRY_DELAY_MS = 200;

/** Input of a policy from the control log and the entries. Policies obtain any further input on their own. */
export interface PurchaseSituation {
    /** Wall time, in milliseconds since the epoch. */
    readonly now: number;
    /** Orders without an outcome yet, which count as placed. */
    readonly openOrders: readonly OrderRecord[];
    /** The latest orders that have an outcome. */
    readonly finishedOrders: readonly OrderRecord[];
    /** Pools with a fresh report; nothing is known of any other pool. */
    readonly demand: readonly PoolReport[];
}

/** An order that a policy requests. */
export interface PlannedOrder {
    readonly target: OrderTarget;
    /** Reason shown to operators. */
    readonly reason: string;
}

/**
 * Decides which upstreams to start and stop, and what engines should load.
 *
 * @example
 * const orders = await policy.plan(situation);
 */
export abstract class ProvisioningPolicy {
    /** Called periodically by the holder only. A planned order appears in the next situation. */
    abstract plan(situation: PurchaseSituation): Promise<readonly PlannedOrder[]>;
}

/** Policy that never orders anything. */
export class NoProvisioning extends ProvisioningPolicy {
    async plan(): Promise<readonly PlannedOrder[]> {
        return [];
    }
}

/** Options of `PurchaseRunner`. */
export interface PurchaseRunnerOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly demand: DemandTable;
    readonly clock: Clock;
    readonly random: Random;
    readonly policy: ProvisioningPolicy;
    /** Interval between runs of the policy, in milliseconds. */
    readonly periodMs: number;
}

/**
 * Runs the policy and commits the intents of its orders; the order sender sends them.
 *
 * Prevents upstreams from being purchased twice: an intent whose commit was not confirmed may still be in the log. Until the same intent
 * has been proposed again and confirmed, the policy is not run, since it would not see that order and place another one.
 */
export class PurchaseRunner extends HolderTask {
    readonly name = "purchase-runner";
    private uncommitted: readonly OrderIntentCommand[] = [];
    private token: number | undefined;

    constructor(private readonly options: PurchaseRunnerOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { state, demand, clock, policy, periodMs } = this.options;
        this.startTerm(term);
        if (!await this.commitIntents(term)) return RETRY_DELAY_MS;
        const planned = await policy.plan({
            now: clock.now(),
            openOrders: state.orders.listOpen(),
            finishedOrders: state.orders.listFinished(),
            demand: demand.listFresh(),
        });
        this.uncommitted = planned.map(order => this.makeIntent(order, term));
        return await this.commitIntents(term) ? periodMs : RETRY_DELAY_MS;
    }

    /** Drops intents left unconfirmed by an earlier term: by now they are in the log or never will be. */
    private startTerm(term: HolderTerm): void {
        if (this.token === term.token) return;
        this.token = term.token;
        this.uncommitted = [];
    }

    /** @returns True once all pending intents are committed. */
    private async commitIntents(term: HolderTerm): Promise<boolean> {
        while (this.uncommitted.length > 0) {
            if (!term.mayAct()) return false;
            const committed = await this.options.log.propose(this.uncommitted[0]);
            if (committed.isLeft()) return false;
            this.uncommitted = this.uncommitted.slice(1);
        }
        return true;
    }

    private makeIntent({ target, reason }: PlannedOrder, term: HolderTerm): OrderIntentCommand {
        const orderId = this.options.random.id() as OrderId;
        return { kind: "order.intent", orderId, fencingToken: term.token, target, reason };
    }
}
