import { Clock } from "../../ports/index.js";

/**
 * Condition variable: wakes the tasks that wait for a change of state.
 *
 * @example
 * await condition.wait(clock, 1_000, signal);
 */
export class WaitCondition {
    private waiters = new Set<() => void>();

    /** Wakes all tasks that are waiting now. */
    notifyAll(): void {
        const waiters = this.waiters;
        this.waiters = new Set();
        for (const wake of waiters) wake();
    }

    /** Waits for the next `notifyAll`, but at most `limitMs` milliseconds; ends early when the signal is aborted. */
    wait(clock: Clock, limitMs: number, signal: AbortSignal): Promise<void> {
        if (signal.aborted) return Promise.resolve();
        return new Promise(resolve => {
            const finish = (): void => {
                this.waiters.delete(finish);
                timer.cancel();
                signal.removeEventListener("abort", finish);
                resolve();
            };
            const timer = clock.after(limitMs, finish);
            signal.addEventListener("abort", finish);
            this.waiters.add(finish);
        });
    }
}
