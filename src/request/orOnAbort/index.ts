/**
 * Waits for work, or for a signal where that comes first. The work goes on, and its result is dropped.
 *
 * @param work - The work to wait for.
 * @param signal - Ends the wait when it is aborted.
 * @param makeValue - Makes the value that is returned then.
 * @example
 * const prepared = await orOnAbort(prepare(req), stopSignal, () => Left(new CallError("stopping", "this host is stopping")));
 */
export async function orOnAbort<Value>(
    work: Promise<Value>,
    signal: AbortSignal,
    makeValue: () => Value,
): Promise<Value> {
    if (signal.aborted) return makeValue();
    let onAbort!: () => void;
    const aborted = new Promise<Value>(resolve => {
        onAbort = () => resolve(makeValue());
        signal.addEventListener("abort", onAbort);
    });
    try {
        return await Promise.race([work, aborted]);
    }
    finally {
        signal.removeEventListener("abort", onAbort);
    }
}
