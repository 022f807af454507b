import { Clock } from "../../ports/index.js";

/** How long an engine's steps take. */
export interface EnginePace {
    /** How many requests run at once. */
    readonly slots: number;
    /** A step's fixed part, in milliseconds. */
    readonly stepMs: number;
    /** Added for each request in the step, in milliseconds. */
    readonly stepMsPerRequest: number;
    /** Added for each prompt token computed in the step, in milliseconds. */
    readonly prefillMsPerToken: number;
    /** The most prompt tokens that one step computes. */
    readonly prefillTokensPerStep: number;
}

/** An engine of about 1,300 tokens a second with all slots taken. */
export const DEFAULT_ENGINE_PACE: EnginePace = {
    slots: 16,
    stepMs: 8,
    stepMsPerRequest: 0.25,
    prefillMsPerToken: 0.02,
    prefillTokensPerStep: 512,
};

/** One request in the batch. */
export abstract class Sequence {
    /** Prompt tokens still to be computed. */
    prefillLeft = 0;

    /** @param priority - 0 is the most urgent. */
    constructor(readonly priority: number) {}

    /** Called when a slot is taken, to say how many prompt tokens must be computed. */
    abstract start(): number;

    /**
     * Called once for each token.
     *
     * @returns True when it was the last one.
     */
    abstract emit(): boolean;
}

/**
 * Continuous batching: each step gives every request in the batch one token, and requests join and leave between steps.
 *
 * @example
 * const batch = new Batch(clock, DEFAULT_ENGINE_PACE);
 * lifecycle.run(signal => batch.run(signal), report);
 * batch.add(sequence);
 */
export class Batch {
    /** Multiplies the time of each step; above 1 the engine is a straggler. */
    slowdown = 1;
    private readonly waiting: Sequence[] = [];
    private readonly running: Sequence[] = [];
    private isFrozen = false;
    private wake: (() => void) | undefined;
    private stepDue = 0;

    /**
     * @param clock - Time for the steps.
     * @param pace - How long they take.
     */
    constructor(private readonly clock: Clock, private readonly pace: EnginePace) {}

    /** How many requests have a slot. */
    get runningCount(): number {
        return this.running.length;
    }

    /** How many requests wait for a slot. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /** Puts a request in line, behind those of the same priority. */
    add(sequence: Sequence): void {
        const behind = this.waiting.findIndex(other => other.priority > sequence.priority);
        this.waiting.splice(behind < 0 ? this.waiting.length : behind, 0, sequence);
        this.wake?.();
    }

    /** Takes a request out, wherever it is; harmless when it is gone. */
    remove(sequence: Sequence): void {
        removeItem(this.waiting, sequence);
        removeItem(this.running, sequence);
    }

    /** Stops all steps, or lets them go on. */
    setFrozen(frozen: boolean): void {
        this.isFrozen = frozen;
        this.wake?.();
    }

    /** Runs steps until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        signal.addEventListener("abort", () => this.wake?.());
        while (!signal.aborted) {
            this.fillSlots();
            if (this.isFrozen || this.running.length === 0) {
                await this.waitForWork();
                continue;
            }
            const work = this.planPrefill();
            await this.waitForStep(this.stepTime(work), signal);
            if (!signal.aborted && !this.isFrozen) this.finishStep(work);
        }
    }

    private fillSlots(): void {
        while (this.running.length < this.pace.slots) {
            const next = this.waiting.shift();
            if (!next) return;
            next.prefillLeft = next.start();
            this.running.push(next);
        }
    }

    private async waitForWork(): Promise<void> {
        await new Promise<void>(resolve => {
            this.wake = resolve;
        });
        this.wake = undefined;
        this.stepDue = this.clock.monotonic();
    }

    /** Gives the step's prompt tokens to those that came first. */
    private planPrefill(): Map<Sequence, number> {
        const work = new Map<Sequence, number>();
        let left = this.pace.prefillTokensPerStep;
        for (const sequence of this.running) {
            const share = Math.min(left, sequence.prefillLeft);
            work.set(sequence, share);
            left -= share;
        }
        return work;
    }

    private stepTime(work: Map<Sequence, number>): number {
        const prefill = sum(work.values());
        const { stepMs, stepMsPerRequest, prefillMsPerToken } = this.pace;
        return (stepMs + stepMsPerRequest * this.running.length + prefillMsPerToken * prefill) * this.slowdown;
    }

    /** Steps follow a schedule of their own, so that a timer's late call does not slow the engine down for good. */
    private async waitForStep(ms: number, signal: AbortSignal): Promise<void> {
        const now = this.clock.monotonic();
        this.stepDue = Math.max(this.stepDue, now - ms) + ms;
        await this.clock.sleep(this.stepDue - now, signal);
    }

    private finishStep(work: Map<Sequence, number>): void {
        for (const [sequence, share] of work) {
            if (!this.running.includes(sequence)) continue;
            sequence.prefillLeft -= share;
            if (sequence.prefillLeft > 0) continue;
            if (sequence.emit()) removeItem(this.running, sequence);
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
