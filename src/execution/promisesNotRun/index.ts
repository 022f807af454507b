/** Statuses by which callers know that a request has not run and never will: timeout, misdirected, too many, unavailable. */
const PROMISING_STATUSES: readonly number[] = [408, 421, 429, 503];

/**
 * Whether a status tells callers that their request has not run. An answer with it may reach the caller only of a request that no upstream
 * can have begun, whoever made the answer.
 *
 * @param status - An HTTP status.
 * @example
 * if (promisesNotRun(reply.status)) return endAsFailed(reply);
 */
export function promisesNotRun(status: number): boolean {
    return PROMISING_STATUSES.includes(status);
}
