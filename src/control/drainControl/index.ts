import { ControlProcess } from "../controlProcess/index.js";

/** The part of a control process that owns queues of pools. */
export interface DrainableQueues {
    /** Hands the queues over and waits for running work, at most for a time in milliseconds. */
    drain(graceMs: number): Promise<boolean>;
}

/**
 * Drains a control process before a planned stop: the queues go to their next owners, and the vote and the leadership to other control processes.
 *
 * @param queues - Undefined if the process owns none.
 * @returns Whether all of it was handed over in time.
 * @example
 * const isClean = await drainControl(control, queues);
 */
export async function drainControl(
    control: Pick<ControlProcess, "leave">,
    queues: DrainableQueues | undefined,
): Promise<boolean> {
    const results = await Promise.all([queues?.drain(0) ?? true, control.leave()]);
    return results.every(Boolean);
}
