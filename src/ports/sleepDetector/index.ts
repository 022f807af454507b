/** A smaller jump of wall time is a correction by a time service, in milliseconds. */
const SMALLEST_JUMP_MS = 100;

/**
 * Notices that the machine was suspended.
 *
 * Guards against a lease that outlives its time: while a machine is suspended its steady clock stands still, and a process that
 * wakes up would go on holding what others count as ended. Wall time goes on meanwhile, so a jump of wall time against the steady
 * clock is taken for sleep. A wall clock that was merely set forward looks the same, and costs a lease too early at most.
 *
 * @example
 * const sleptMs = detector.sleptMs(Date.now(), performance.now());
 */
export class SleepDetector {
    private slept = 0;
    private offset: number | undefined;

    /**
     * Takes a reading of both clocks.
     *
     * @param wallMs - Wall time, in milliseconds.
     * @param steadyMs - The steady clock, in milliseconds.
     * @returns How long the machine may have slept so far, in milliseconds. Never goes back.
     */
    sleptMs(wallMs: number, steadyMs: number): number {
        const offset = wallMs - steadyMs;
        const jumpMs = offset - (this.offset ?? offset);
        this.offset = offset;
        if (jumpMs >= SMALLEST_JUMP_MS) this.slept += jumpMs;
        return this.slept;
    }
}
