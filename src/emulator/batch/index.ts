import { Clock } from "../../ports/index.js";

/** Slots and step durations of an engine. */
export interface EngineTiming {
    /** Maximum number of requests in the batch. */
    readonly slots: number;
    /** Fixed duration of a step, in milliseconds. */
    readonly stepMs: number;
    /** Additional duration per request in the batch, in milliseconds. */
    readonly stepMsPerRequest: number;
    /** Additional duration per prompt token computed in the step, in milliseconds. */
    readonly prefillMsPerToken: number;
    /** Maximum number of prompt tokens computed in one step. */
    readonly prefillTokensPerStep: number;
    /** Whether a waiting request takes the slot of a less urgent running one. */
    readonly preemptsSlots?: boolean;
    /** Number of tokens that the requests of the batch can keep in memory together; unlimited by default. */
    readonly memoryTokens?: number;
}

/** Timing of an engine that produces about 1,300 tokens per second with all slots taken. */
export const DEFAULT_ENGINE_TIMING: EngineTiming = {
    slots: 16,
    stepMs: 8,
    stepMsPerRequest: 0.25,
    prefillMsPerToken: 0.02,
    prefillTokensPerStep: 512,
};

/** A request that waits for a slot or is in the batch. */
export abstract class Sequence {
    /** Prompt tokens that are still to be computed. */
    remainingPrefillTokens = 0;

    /** @param priority - 0 is the most urgent. */
    constructor(readonly priority: number) {}

    /** Number of tokens that it keeps in memory while it is in the batch. */
    get memoryTokens(): number {
        return 0;
    }

    /**
     * Called when it loses its slot to another request or for lack of memory. It waits again, and its prompt and answer
     * so far are computed again.
     *
     * @param _others - The requests that stay in the batch.
     */
    recordPreemption(_others: readonly Sequence[]): void {}

    /** Called when the request gets a slot; returns the number of prompt tokens to compute. */
    abstract startPrefill(): number;

    /**
     * Called once per output token.
     *
     * @returns True if this was the last one.
     */
    abstract emitToken(): boolean;
}

/**
 * Continuous batching: each step produces one token for every request in the batch that has finished its prefill;
 * requests join and leave the batch between steps.
 *
 * @example
 * const batch = new Batch(clock, DEFAULT_ENGINE_TIMING);
 * lifecycle.run(signal => batch.run(signal), report);
 * batch.add(sequence);
 */
export class Batch {
    /** Factor on the duration of each step; above 1 the engine is a straggler. */
    slowdownFactor = 1;
    private readonly waiting: Sequence[] = [];
    private readonly running: Sequence[] = [];
    private isFrozen = false;
    private wake: (() => void) | undefined;
    private stepDueMs = 0;

    /**
     * @param clock - Times the steps.
     * @param timing - Slots and step durations.
     */
    constructor(private readonly clock: Clock, private readonly timing: EngineTiming) {}

    /** Number of requests with a slot. */
    get runningCount(): number {
        return this.running.length;
    }

    /** Number of requests that wait for a slot. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Queues a request behind all of the same or a higher priority. */
    add(sequence: Sequence): void {
        const insertAt = this.waiting.findIndex(other => other.priority > sequence.priority);
        this.waiting.splice(insertAt < 0 ? this.waiting.length : insertAt, 0, sequence);
        this.wake?.();
    }

    /** Removes a waiting or running request; no-op when it is neither. */
    remove(sequence: Sequence): void {
        removeItem(this.waiting, sequence);
        removeItem(this.running, sequence);
    }

    /** Suspends or resumes the steps. */
    setFrozen(frozen: boolean): void {
        this.isFrozen = frozen;
        this.wake?.();
    }

    /** Runs steps until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        signal.addEventListener("abort", () => this.wake?.());
        while (!signal.aborted) {
            this.keepWithinMemory();
            this.fillSlots();
            if (this.isFrozen || this.running.length === 0) {
                await this.waitForWork();
                continue;
            }
            const prefillShares = this.planPrefill();
            await this.waitForStep(this.stepDurationMs(prefillShares), signal);
            if (!signal.aborted && !this.isFrozen) this.finishStep(prefillShares);
        }
    }

    private fillSlots(): void {
        while (this.waiting.length > 0 && this.makeRoom(this.waiting[0])) {
            const next = this.waiting.shift()!;
            next.remainingPrefillTokens = next.startPrefill();
            this.running.push(next);
        }
    }

    /** Preempts less urgent requests until a waiting one has a slot and memory. Returns false where it must wait. */
    private makeRoom(next: Sequence): boolean {
        const { slots, preemptsSlots = false, memoryTokens = Number.POSITIVE_INFINITY } = this.timing;
        const isFree = (): boolean =>
            this.running.length < slots
            && (this.running.length === 0 || this.usedMemory() + next.memoryTokens <= memoryTokens);
        while (!isFree()) {
            const victim = preemptsSlots ? this.findVictim() : undefined;
            if (!victim || victim.priority <= next.priority) return false;
            this.preempt(victim);
        }
        return true;
    }

    /** Preempts requests while those in the batch need more memory than there is; one is always left. */
    private keepWithinMemory(): void {
        const { memoryTokens = Number.POSITIVE_INFINITY } = this.timing;
        while (this.running.length > 1 && this.usedMemory() > memoryTokens) this.preempt(this.findVictim()!);
    }

    /** Returns the newest of the least urgent requests of the batch. */
    private findVictim(): Sequence | undefined {
        const lowest = Math.max(...this.running.map(({ priority }) => priority));
        return this.running.findLast(({ priority }) => priority === lowest);
    }

    private preempt(victim: Sequence): void {
        removeItem(this.running, victim);
        victim.recordPreemption(this.running);
        this.add(victim);
    }

    private usedMemory(): number {
        return sum(this.running.map(sequence => sequence.memoryTokens));
    }

    private async waitForWork(): Promise<void> {
        await new Promise<void>(resolve => {
            this.wake = resolve;
        });
        this.wake = undefined;
        this.stepDueMs = this.clock.monotonic();
    }

    /** Allots the step's prefill budget to the running requests, first come, first served. */
    private planPrefill(): Map<Sequence, number> {
        const shares = new Map<Sequence, number>();
        let remainingTokens = this.timing.prefillTokensPerStep;
        for (const sequence of this.running) {
            const share = Math.min(remainingTokens, sequence.remainingPrefillTokens);
            shares.set(sequence, share);
            remainingTokens -= share;
        }
        return shares;
    }

    private stepDurationMs(prefillShares: Map<Sequence, number>): number {
        const prefillTokens = sum(prefillShares.values());
        const { stepMs, stepMsPerRequest, prefillMsPerToken } = this.timing;
        return (stepMs + stepMsPerRequest * this.running.length + prefillMsPerToken * prefillTokens)
            * this.slowdownFactor;
    }

    /** Waits until the step's scheduled end. Steps follow a fixed schedule, so that late timers don't slow the engine down permanently. */
    private async waitForStep(durationMs: number, signal: AbortSignal): Promise<void> {
        const nowMs = this.clock.monotonic();
        this.stepDueMs = Math.max(this.stepDueMs, nowMs - durationMs) + durationMs;
        await this.clock.sleep(this.stepDueMs - nowMs, signal);
    }

    private finishStep(prefillShares: Map<Sequence, number>): void {
        for (const [sequence, share] of prefillShares) {
            if (!this.running.includes(sequence)) continue;
            sequence.remainingPrefillTokens -= share;
            if (sequence.remainingPrefillTokens > 0) continue;
            if (sequence.emitToken()) removeItem(this.running, sequence);
        }
    }
}

function removeItem(items: Sequence[], item: Sequence): void {
    const index = items.indexOf(item);
    if (index >= 0) items.splice(index, 1);
}

function sum(values: Iterable<number>): number {
    let total = 0;
    for (const value of values) total += value;
    return total;
}
