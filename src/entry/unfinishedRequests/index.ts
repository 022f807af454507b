import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { RequestRegistry, RunningRequest } from "../../request/index.js";

/** Maximum number of requests that get a log line of their own. */
const MAX_LINES = 50;

/** A drain that has come to its end, and the requests of the process. */
export interface EndedDrain {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly requests: RequestRegistry;
    /** Monotonic time at which the stop began, in milliseconds. */
    readonly stopAt: number;
}

/**
 * Logs the requests that are still running when a process is about to exit, the oldest first: each of them loses the rest of its answer.
 *
 * @example
 * reportUnfinishedRequests({ clock, logger, requests, stopAt });
 */
export function reportUnfinishedRequests({ clock, logger, requests, stopAt }: EndedDrain): void {
    const stoppedForMs = clock.monotonic() - stopAt;
    for (const run of requests.list().slice(0, MAX_LINES)) logUnfinished(logger, run, stoppedForMs);
}

function logUnfinished(logger: Logger, run: RunningRequest, stoppedForMs: number): void {
    const { id, className, pool } = run.identity;
    const ageMs = run.ageMs();
    logger.warn("drain-unfinished", {
        request: id,
        class: className,
        pool,
        ageMs: Math.round(ageMs),
        arrivedAfterStopMs: Math.round(stoppedForMs - ageMs),
        waitsFor: run.waitsFor,
        waitingMs: Math.round(run.waitingMs()),
        upstream: run.history.upstream,
    });
}
