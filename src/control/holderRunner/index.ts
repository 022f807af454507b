import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { MAX_LEASE_DRIFT } from "../entryTable/index.js";
import { FencedSender } from "../fencedSender/index.js";
import { HolderTerm } from "../holderTerm/index.js";

/** Poll interval for the lease of a process that doesn't hold it, in milliseconds, in addition to notifications. */
const IDLE_POLL_MS = 1_000;
/** Delay after a failed step, in milliseconds. */
const FAILURE_PAUSE_MS = 1_000;

/** A periodic task that only the lease holder performs. */
export abstract class HolderTask {
    /** Name in log records. */
    abstract readonly name: string;

    /**
     * Performs the work that is currently due.
     *
     * @returns Delay before the next step, in milliseconds.
     */
    abstract step(term: HolderTerm): Promise<number>;
}

/** Options of `HolderRunner`. */
export interface HolderRunnerOptions {
    readonly log: ControlLog;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly sender: FencedSender;
    readonly tasks: readonly HolderTask[];
    /** Duration of the control lease without renewal, in milliseconds. */
    readonly holderLeaseMs: number;
}

/**
 * Runs the holder's tasks exactly while this process holds the lease.
 *
 * @example
 * lifecycle.run(signal => runner.run(signal), logError);
 */
export class HolderRunner {
    constructor(private readonly options: HolderRunnerOptions) {}

    /** Runs until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { log, clock } = this.options;
        while (!signal.aborted) {
            if (log.holdsLease()) await this.runTerm(signal);
            else await this.awaitHolderChange(clock, signal);
        }
    }

    private async runTerm(signal: AbortSignal): Promise<void> {
        const { log, clock, logger, sender, tasks, holderLeaseMs } = this.options;
        const abort = new AbortController();
        const end = (): void => {
            abort.abort();
            sender.resetAll();
        };
        const stop = log.onHolderChange(holds => {
            if (!holds || log.fencingToken() !== term.token) end();
        });
        signal.addEventListener("abort", end);
        const takeoverWaitMs = holderLeaseMs * (1 + MAX_LEASE_DRIFT) + sender.maxDeliveryMs;
        const term = new HolderTerm(log, clock, takeoverWaitMs, abort.signal);
        logger.info("holder-term-started", { token: term.token });
        await Promise.all(tasks.map(task => this.runTask(task, term)));
        stop();
        signal.removeEventListener("abort", end);
        end();
        logger.info("holder-term-ended", { token: term.token });
    }

    private async runTask(task: HolderTask, term: HolderTerm): Promise<void> {
        const { clock, logger } = this.options;
        while (term.mayAct()) {
            const pauseMs = await task.step(term).catch((err: Error) => {
                logger.error("holder-task-failed", { task: task.name, error: err.message });
                return FAILURE_PAUSE_MS;
            });
            await clock.sleep(pauseMs, term.signal);
        }
    }

    private awaitHolderChange(clock: Clock, signal: AbortSignal): Promise<void> {
        const woken = new AbortController();
        const wake = (): void => woken.abort();
        const stop = this.options.log.onHolderChange(wake);
        signal.addEventListener("abort", wake);
        return clock.sleep(IDLE_POLL_MS, woken.signal).finally(() => {
            stop();
            signal.removeEventListener("abort", wake);
        });
    }
}
