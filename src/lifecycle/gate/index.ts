import { Clock } from "../../ports/index.js";

/**
 * Wakes tasks that wait for a change of something they look at.
 *
 * @example
 * await gate.wait(clock, 1_000, signal);
 */
export class Gate {
    private waiting = new Set<() => void>();

    /** Wakes all that wait now. */
    open(): void {
        const waiting = this.waiting;
        this.waiting = new Set();
        for (const wake of waiting) wake();
    }

    /** Settles at the next `open`, after `limitMs`, or when the signal is aborted. */
    wait(clock: Clock, limitMs: number, signal: AbortSignal): Promise<void> {
        if (signal.aborted) return Promise.resolve();
        return new Promise(resolve => {
            const finish = (): void => {
                this.waiting.delete(finish);
                timer.cancel();
                signal.removeEventListener("abort", finish);
                resolve();
            };
            const timer = clock.after(limitMs, finish);
            signal.addEventListener("abort", finish);
            this.waiting.add(finish);
        });
    }
}
