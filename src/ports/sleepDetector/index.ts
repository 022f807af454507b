/** Smallest jump of wall time that counts as a suspension; a smaller one is a correction by a time service. */
const MIN_JUMP_MS = 100;

/**
 * Detects that the machine was suspended.
 *
 * While a machine is suspended its monotonic clock stands still, so that after the wake-up a process would go on holding a
 * lease that has expired for all others. Wall time goes on meanwhile, so a jump of wall time against the monotonic clock
 * counts as a suspension. A wall clock that was merely set forward looks the same; at worst, a lease then ends too early.
 *
 * @example
 * const suspendedMs = detector.suspendedMs(Date.now(), performance.now());
 */
export class SleepDetector {
    private totalSuspendedMs = 0;
    private offset: number | undefined;

    /**
     * Compares a new reading of both clocks with the previous one.
     *
     * @param wallMs - Wall time, in milliseconds.
     * @param monotonicMs - Monotonic time, in milliseconds.
     * @returns Total time for which the machine may have been suspended, in milliseconds. Never decreases.
     */
    suspendedMs(wallMs: number, monotonicMs: number): number {
        const offset = wallMs - monotonicMs;
        const jumpMs = offset - (this.offset ?? offset);
        this.offset = offset;
        if (jumpMs >= MIN_JUMP_MS) this.totalSuspendedMs += jumpMs;
        return this.totalSuspendedMs;
    }
}
