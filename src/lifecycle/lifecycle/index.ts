import { setMaxListeners } from "node:events";

/** Ends something that was started, such as a listener or a task. */
export type CleanUp = () => void | Promise<void>;

/**
 * Collects the clean-up functions of what a process or a part of it has started.
 *
 * @example
 * const lifecycle = new Lifecycle();
 * lifecycle.addCleanUp(() => listener.close());
 * await lifecycle.close();
 */
export class Lifecycle {
    private readonly cleanUps: CleanUp[] = [];
    private readonly abort = new AbortController();
    private closing: Promise<void> | undefined;

    constructor() {
        // All tasks of a process listen to this signal, so a large number of listeners is not a leak.
        setMaxListeners(0, this.abort.signal);
    }

    /** Aborted as soon as closing begins; tasks must then end. */
    get signal(): AbortSignal {
        return this.abort.signal;
    }

    get isClosing(): boolean {
        return this.closing !== undefined;
    }

    /** Registers a clean-up function to run on `close`. */
    addCleanUp(cleanUp: CleanUp): void {
        this.cleanUps.push(cleanUp);
    }

    /** Returns a lifecycle that can be closed on its own, and is closed with this one at the latest. */
    child(): Lifecycle {
        const child = new Lifecycle();
        this.addCleanUp(() => child.close());
        return child;
    }

    /**
     * Starts a task that must end once the signal is aborted. `close` waits for it.
     *
     * @param task - The task, which gets the signal.
     * @param onError - Called if the task fails.
     */
    run(task: (signal: AbortSignal) => Promise<void>, onError: (err: unknown) => void): void {
        const done = task(this.signal).catch(onError);
        this.addCleanUp(() => done);
    }

    /**
     * Aborts the signal and runs all clean-up functions, the last registered first. Further calls wait for the same run.
     *
     * @throws AggregateError if any clean-up function failed; the others have run all the same.
     */
    close(): Promise<void> {
        this.closing ??= this.closeAll();
        return this.closing;
    }

    private async closeAll(): Promise<void> {
        this.abort.abort();
        const errs: unknown[] = [];
        for (const cleanUp of this.cleanUps.reverse()) {
            try {
                await cleanUp();
            }
            catch (err) {
                errs.push(err);
            }
        }
        if (errs.length > 0) throw new AggregateError(errs, "clean-up failed");
    }
}
