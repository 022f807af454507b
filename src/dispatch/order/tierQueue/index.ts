import { WorkspaceId } from "../../../ids/index.js";
import { Heap } from "../../_lib/heap.js";
import { WaitingTicket } from "../../waitingTicket/index.js";

/** The waiting tickets of one workspace in this tier, and its virtual token counter. */
interface WorkspaceQueue {
    readonly workspace: WorkspaceId;
    weight: number;
    /** The virtual token counter: tokens charged per unit of weight. */
    virtualTokens: number;
    /** The predicted cost of its waiting tickets, in tokens. */
    waitingCost: number;
    /** Number of its granted tickets that have not ended. */
    runningCount: number;
    readonly tickets: Heap<WaitingTicket>;
}

/** Number of workspaces from which on counters of idle ones are removed, once the tier's counter has reached them. */
const MIN_IDLE_EXPIRY_COUNT = 256;
/**
 * Maximum lag of the counter of a workspace with running requests behind the others, in requests. A small workspace
 * occasionally has no waiting ticket; if it were moved up to the others each time, it would lose a tenth of its share to them.
 */
const MAX_LAG_REQUESTS = 4;
/** Up to this many active workspaces, the cost ahead is summed exactly; above it, it is estimated. */
const MAX_EXACT_WORKSPACES = 64;

/**
 * The waiting tickets of one tier. Workspaces take turns by a virtual token counter each (tokens charged per weight);
 * within a workspace the earliest deadline goes first. The counter of a workspace that was idle starts at the lowest
 * one of the others: idle time earns no credit, or it could occupy the pool for as long as it had been idle.
 */
export class TierQueue {
    private readonly queues = new Map<WorkspaceId, WorkspaceQueue>();
    private readonly activeQueues = new Heap<WorkspaceQueue>((a, b) => a.virtualTokens < b.virtualTokens);
    private readonly ticketsByTarget = new Heap<WaitingTicket>((a, b) => a.targetAt < b.targetAt);
    private activeWeight = 0;
    private tierVirtualTokens = 0;
    private totalCost = 0;
    private idleExpiryCount = MIN_IDLE_EXPIRY_COUNT;

    get size(): number {
        return this.ticketsByTarget.size;
    }

    /** Predicted cost of all waiting tickets, in tokens. */
    get cost(): number {
        return this.totalCost;
    }

    /** Monotonic time at which the earliest target is due, in milliseconds; Infinity when no ticket waits. */
    get earliestTargetAt(): number {
        return this.ticketsByTarget.first?.targetAt ?? Infinity;
    }

    /** The guaranteed share of the capacity for the class of the ticket that is next. */
    get guaranteedShare(): number {
        return this.activeQueues.first?.tickets.first?.ticket.guaranteedShare ?? 0;
    }

    values(): readonly WaitingTicket[] {
        return this.ticketsByTarget.values();
    }

    add(waiting: WaitingTicket): void {
        const queue = this.findQueue(waiting);
        queue.tickets.add(waiting);
        queue.waitingCost += waiting.cost;
        this.totalCost += waiting.cost;
        this.ticketsByTarget.add(waiting);
        if (queue.tickets.size === 1) this.activate(queue, waiting);
    }

    remove(waiting: WaitingTicket): boolean {
        const queue = this.queues.get(waiting.ticket.workspace);
        if (!queue?.tickets.remove(waiting)) return false;
        queue.waitingCost -= waiting.cost;
        this.totalCost -= waiting.cost;
        this.ticketsByTarget.remove(waiting);
        if (queue.tickets.size === 0) this.deactivate(queue);
        return true;
    }

    /** Removes the next ticket and charges its workspace the predicted cost. */
    takeNext(): WaitingTicket | undefined {
        const queue = this.activeQueues.first;
        const waiting = queue?.tickets.first;
        if (!queue || !waiting) return undefined;
        this.tierVirtualTokens = queue.virtualTokens;
        this.charge(queue, waiting.cost);
        queue.runningCount++;
        this.remove(waiting);
        return waiting;
    }

    /** Charges the workspace of a ticket that was granted without waiting here the predicted cost. */
    chargeGrant(waiting: WaitingTicket): void {
        const queue = this.findQueue(waiting);
        queue.runningCount++;
        this.charge(queue, waiting.cost);
    }

    /** Charges the workspace of an ended ticket the difference between its actual and predicted cost. */
    correctCost(waiting: WaitingTicket, actualCost: number): void {
        const queue = this.queues.get(waiting.ticket.workspace);
        if (!queue) return;
        queue.runningCount = Math.max(0, queue.runningCount - 1);
        this.charge(queue, actualCost - waiting.cost);
    }

    /**
     * Returns the predicted cost of what this tier grants before a ticket, in tokens: what its own workspace has
     * waiting, and what each other workspace gets until its counter reaches that of the ticket's turn.
     */
    costAhead(waiting: WaitingTicket): number {
        const queue = this.queues.get(waiting.ticket.workspace);
        const ticketCost = queue?.tickets.has(waiting) ? waiting.cost : 0;
        const ownCost = (queue?.waitingCost ?? 0) - ticketCost;
        const turnVirtualTokens = this.startingVirtualTokens(queue, waiting) + ownCost / waiting.ticket.weight;
        const lowest = this.activeQueues.first?.virtualTokens ?? this.tierVirtualTokens;
        const othersCost = this.activeQueues.size <= MAX_EXACT_WORKSPACES
            ? this.otherWorkspacesCost(turnVirtualTokens, queue)
            : Math.max(0, turnVirtualTokens - lowest) * this.activeWeight;
        return Math.min(this.totalCost - ticketCost, ownCost + othersCost);
    }

    private otherWorkspacesCost(turnVirtualTokens: number, ownQueue: WorkspaceQueue | undefined): number {
        let cost = 0;
        for (const other of this.activeQueues.values()) {
            if (other === ownQueue || other.virtualTokens >= turnVirtualTokens) continue;
            cost += Math.min(other.waitingCost, (turnVirtualTokens - other.virtualTokens) * other.weight);
        }
        return cost;
    }

    private findQueue(waiting: WaitingTicket): WorkspaceQueue {
        const { workspace, weight } = waiting.ticket;
        const known = this.queues.get(workspace);
        if (known) return known;
        this.removeIdle();
        const queue: WorkspaceQueue = {
            workspace,
            weight,
            virtualTokens: 0,
            waitingCost: 0,
            runningCount: 0,
            tickets: new Heap((a, b) => a.targetAt < b.targetAt),
        };
        this.queues.set(workspace, queue);
        return queue;
    }

    private activate(queue: WorkspaceQueue, waiting: WaitingTicket): void {
        const { weight } = waiting.ticket;
        queue.weight = weight;
        queue.virtualTokens = this.startingVirtualTokens(queue, waiting);
        this.activeWeight += weight;
        this.activeQueues.add(queue);
    }

    /** Returns the virtual token counter of a workspace at the time a ticket of it starts to wait. */
    private startingVirtualTokens(queue: WorkspaceQueue | undefined, waiting: WaitingTicket): number {
        const lowest = this.activeQueues.first?.virtualTokens ?? this.tierVirtualTokens;
        if (!queue) return lowest;
        if (queue.tickets.size > 1) return queue.virtualTokens;
        const lag = queue.runningCount > 0 ? MAX_LAG_REQUESTS * waiting.cost / waiting.ticket.weight : 0;
        return Math.max(queue.virtualTokens, lowest - lag);
    }

    private deactivate(queue: WorkspaceQueue): void {
        this.activeQueues.remove(queue);
        this.activeWeight -= queue.weight;
    }

    private charge(queue: WorkspaceQueue, cost: number): void {
        queue.virtualTokens += cost / queue.weight;
        this.activeQueues.update(queue);
    }

    /**
     * Removes idle workspaces that the tier's counter has reached. Each run sets the next threshold to twice the
     * remaining number, so that the amortized cost of a new workspace is constant.
     */
    private removeIdle(): void {
        if (this.queues.size < this.idleExpiryCount) return;
        for (const queue of [...this.queues.values()]) {
            if (queue.tickets.size + queue.runningCount > 0 || queue.virtualTokens > this.tierVirtualTokens) continue;
            this.queues.delete(queue.workspace);
        }
        this.idleExpiryCount = Math.max(MIN_IDLE_EXPIRY_COUNT, 2 * this.queues.size);
    }
}
