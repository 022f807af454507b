import { BudgetLimits, MAX_LARGE_HOLDINGS_RATIO } from "../callerBudget/index.js";

const BYTES_PER_MB = 1_024 * 1_024;
/** Memory of a process that serves nobody, in MB. */
const PROCESS_MB = 110;
/** Part of the other memory that callers may hold. The garbage collector frees it later than they give it back. */
const CALLERS_RATIO = 1 / 3;
/** Memory of a body that is moved to a larger storage, as a multiple of its size. */
const MOVED_BODY_RATIO = 2;

/**
 * Derives what the callers of a process may hold together from the memory of its host.
 *
 * @param memoryMb - Memory that the process may use, in MB.
 * @example
 * const budget = new CallerBudget(deriveBudgetLimits(350), () => clock.monotonic());
 */
export function deriveBudgetLimits(memoryMb: number): BudgetLimits {
    return { bytes: Math.max(0, memoryMb - PROCESS_MB) * CALLERS_RATIO * BYTES_PER_MB };
}

/**
 * Returns the memory with which a single body is always served where nothing else is under way, in MB.
 *
 * @param bodyBytes - Size of the body, in bytes.
 * @example
 * if (limits.memoryMb < minMemoryMb(limits.bodyBytes)) refuse();
 */
export function minMemoryMb(bodyBytes: number): number {
    const heldMb = MOVED_BODY_RATIO * bodyBytes / MAX_LARGE_HOLDINGS_RATIO / BYTES_PER_MB;
    return Math.ceil(PROCESS_MB + heldMb / CALLERS_RATIO);
}
