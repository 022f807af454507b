import { WorkspaceId } from "../../../ids/index.js";
import { Heap } from "../../_lib/heap.js";
import { WaitingTicket } from "../../waiting/index.js";

interface WorkspaceQueue {
    readonly workspace: WorkspaceId;
    weight: number;
    /** Tokens served for each unit of weight. */
    counter: number;
    waitingCost: number;
    /** Its granted tickets that have not ended. */
    running: number;
    readonly tickets: Heap<WaitingTicket>;
}

/** Counters of idle workspaces are dropped, once the tier has caught up with them, from this many on. */
const IDLE_SWEEP_AT = 256;
/**
 * How far a workspace that has work running may stay behind the others, in requests. A small one has no ticket waiting
 * now and then; moved up to the others each time, it would lose a tenth of its share to them.
 */
const MOST_LAG = 4;
/** Among more active workspaces than this, what each will get is not counted one by one. */
const MOST_COUNTED = 64;

/**
 * The waiting tickets of one tier. Workspaces take turns by the tokens they got for their weight (a virtual token
 * counter each); within a workspace the earliest deadline goes first. A workspace that was idle starts at the level of
 * the others: time without requests earns no credit, else it could hold the pool for as long as it had been away.
 */
export class TierQueue {
    private readonly queues = new Map<WorkspaceId, WorkspaceQueue>();
    private readonly active = new Heap<WorkspaceQueue>((a, b) => a.counter < b.counter);
    private readonly byTarget = new Heap<WaitingTicket>((a, b) => a.targetAt < b.targetAt);
    private activeWeight = 0;
    private level = 0;
    private totalCost = 0;
    private sweepAt = IDLE_SWEEP_AT;

    get size(): number {
        return this.byTarget.size;
    }

    /** The predicted cost of all its waiting tickets, in tokens. */
    get cost(): number {
        return this.totalCost;
    }

    /** When the tightest of its targets is due; Infinity when it is empty. */
    get tightestTargetAt(): number {
        return this.byTarget.first?.targetAt ?? Infinity;
    }

    /** The largest share of capacity that a waiting class may count on. */
    get guaranteedShare(): number {
        return this.active.first?.tickets.first?.ticket.guaranteedShare ?? 0;
    }

    values(): readonly WaitingTicket[] {
        return this.byTarget.values();
    }

    add(waiting: WaitingTicket): void {
        const queue = this.findQueue(waiting);
        queue.tickets.add(waiting);
        queue.waitingCost += waiting.cost;
        this.totalCost += waiting.cost;
        this.byTarget.add(waiting);
        if (queue.tickets.size === 1) this.activate(queue, waiting);
    }

    remove(waiting: WaitingTicket): boolean {
        const queue = this.queues.get(waiting.ticket.workspace);
        if (!queue?.tickets.remove(waiting)) return false;
        queue.waitingCost -= waiting.cost;
        this.totalCost -= waiting.cost;
        this.byTarget.remove(waiting);
        if (queue.tickets.size === 0) this.deactivate(queue);
        return true;
    }

    /** Takes out the next ticket and charges its workspace with the predicted cost. */
    takeNext(): WaitingTicket | undefined {
        const queue = this.active.first;
        const waiting = queue?.tickets.first;
        if (!queue || !waiting) return undefined;
        this.level = queue.counter;
        this.charge(queue, waiting.cost);
        queue.running++;
        this.remove(waiting);
        return waiting;
    }

    /** A granted ticket has ended: charges its workspace with the difference between the real cost and the predicted. */
    correctCost(waiting: WaitingTicket, realCost: number): void {
        const queue = this.queues.get(waiting.ticket.workspace);
        if (!queue) return;
        queue.running = Math.max(0, queue.running - 1);
        this.charge(queue, realCost - waiting.cost);
    }

    /**
     * The predicted cost of what this tier will grant before a ticket, in tokens: what its own workspace has waiting, and
     * what each other workspace gets until its counter has caught up.
     */
    costAhead(waiting: WaitingTicket): number {
        const queue = this.queues.get(waiting.ticket.workspace);
        const ownPart = queue?.tickets.has(waiting) ? waiting.cost : 0;
        const ownCost = (queue?.waitingCost ?? 0) - ownPart;
        const turnAt = this.startingCounter(queue, waiting) + ownCost / waiting.ticket.weight;
        const lowest = this.active.first?.counter ?? this.level;
        const others = this.active.size <= MOST_COUNTED
            ? this.costUntil(turnAt, queue)
            : Math.max(0, turnAt - lowest) * this.activeWeight;
        return Math.min(this.totalCost - ownPart, ownCost + others);
    }

    private costUntil(turnAt: number, own: WorkspaceQueue | undefined): number {
        let cost = 0;
        for (const other of this.active.values()) {
            if (other === own || other.counter >= turnAt) continue;
            cost += Math.min(other.waitingCost, (turnAt - other.counter) * other.weight);
        }
        return cost;
    }

    private findQueue(waiting: WaitingTicket): WorkspaceQueue {
        const { workspace, weight } = waiting.ticket;
        const known = this.queues.get(workspace);
        if (known) return known;
        this.sweepIdle();
        const queue: WorkspaceQueue = {
            workspace,
            weight,
            counter: 0,
            waitingCost: 0,
            running: 0,
            tickets: new Heap((a, b) => a.targetAt < b.targetAt),
        };
        this.queues.set(workspace, queue);
        return queue;
    }

    private activate(queue: WorkspaceQueue, waiting: WaitingTicket): void {
        const { weight } = waiting.ticket;
        queue.weight = weight;
        queue.counter = this.startingCounter(queue, waiting);
        this.activeWeight += weight;
        this.active.add(queue);
    }

    /** Where a workspace's counter stands once the ticket waits. */
    private startingCounter(queue: WorkspaceQueue | undefined, waiting: WaitingTicket): number {
        const lowest = this.active.first?.counter ?? this.level;
        if (!queue) return lowest;
        if (queue.tickets.size > 1) return queue.counter;
        const lag = queue.running > 0 ? MOST_LAG * waiting.cost / waiting.ticket.weight : 0;
        return Math.max(queue.counter, lowest - lag);
    }

    private deactivate(queue: WorkspaceQueue): void {
        this.active.remove(queue);
        this.activeWeight -= queue.weight;
    }

    private charge(queue: WorkspaceQueue, cost: number): void {
        queue.counter += cost / queue.weight;
        this.active.update(queue);
    }

    /** Each sweep doubles the bound from what it left, so that a new workspace costs the same however many there are. */
    private sweepIdle(): void {
        if (this.queues.size < this.sweepAt) return;
        for (const queue of [...this.queues.values()]) {
            if (queue.tickets.size + queue.running > 0 || queue.counter > this.level) continue;
            this.queues.delete(queue.workspace);
        }
        this.sweepAt = Math.max(IDLE_SWEEP_AT, 2 * this.queues.size);
    }
}
