import { setMaxListeners } from "node:events";

/** Ends something that was started. */
export type CleanUp = () => void | Promise<void>;

/**
 * Owns what a process or a part of it has started.
 *
 * @example
 * const lifecycle = new Lifecycle();
 * lifecycle.own(() => listener.close());
 * await lifecycle.close();
 */
export class Lifecycle {
    private readonly cleanUps: CleanUp[] = [];
    private readonly abort = new AbortController();
    private closing: Promise<void> | undefined;

    constructor() {
        // Each task of a process listens to the one signal; they are many by design, not by a leak.
        setMaxListeners(0, this.abort.signal);
    }

    /** Aborted as soon as closing begins; tasks end on it. */
    get signal(): AbortSignal {
        return this.abort.signal;
    }

    get isClosing(): boolean {
        return this.closing !== undefined;
    }

    /** Takes over the clean-up of something. */
    own(cleanUp: CleanUp): void {
        this.cleanUps.push(cleanUp);
    }

    /** A part with its own end, closed with this one if it has not been before. */
    child(): Lifecycle {
        const child = new Lifecycle();
        this.own(() => child.close());
        return child;
    }

    /**
     * Runs a task that ends on its own once the signal is aborted. Closing waits for it.
     *
     * @param task - Gets the signal.
     * @param onError - Told when the task fails.
     */
    run(task: (signal: AbortSignal) => Promise<void>, onError: (err: unknown) => void): void {
        const done = task(this.signal).catch(onError);
        this.own(() => done);
    }

    /** Closes everything, the last owned first. Further calls wait for the same end. */
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
