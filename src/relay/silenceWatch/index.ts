import { Clock } from "../../ports/index.js";
import { UpstreamTarget } from "../../upstream/index.js";

/** Time without a byte from any upstream, while answers are awaited, after which the paths are checked, in milliseconds. */
const SILENCE_MS = 500;
/** Minimum time between two checks, in milliseconds. */
const MIN_CHECK_INTERVAL_MS = 1_000;

/**
 * Notices that no upstream is heard any more: connections that are already open do not fail when their path is lost, they fall silent. An
 * upstream that works may be silent for as long, so silence is only a reason to check the paths.
 *
 * @example
 * const stop = watch.expect(target);
 * watch.recordHeard();
 */
export class SilenceWatch {
    private readonly awaited = new Set<{ readonly target: UpstreamTarget; }>();
    private heardAt = 0;
    private checkedAt = Number.NEGATIVE_INFINITY;
    private isArmed = false;

    /** @param check - Checks the path to an upstream that owes an answer. */
    constructor(private readonly clock: Clock, private readonly check: (target: UpstreamTarget) => void) {}

    /** Time since an upstream was last heard, in milliseconds. */
    get silentMs(): number {
        return this.clock.monotonic() - this.heardAt;
    }

    /** Records that an answer of an upstream is awaited, until the returned function is called. */
    expect(target: UpstreamTarget): () => void {
        const answer = { target };
        if (this.awaited.size === 0) this.recordHeard();
        this.awaited.add(answer);
        this.arm(SILENCE_MS);
        return () => this.awaited.delete(answer);
    }

    /** Records that bytes have come from an upstream. */
    recordHeard(): void {
        this.heardAt = this.clock.monotonic();
    }

    private arm(ms: number): void {
        if (this.isArmed) return;
        this.isArmed = true;
        this.clock.after(ms, () => this.review());
    }

    private review(): void {
        this.isArmed = false;
        if (this.awaited.size === 0) return;
        const now = this.clock.monotonic();
        const dueInMs = Math.ceil(Math.max(SILENCE_MS - this.silentMs, this.checkedAt + MIN_CHECK_INTERVAL_MS - now));
        if (dueInMs > 0) return this.arm(dueInMs);
        this.checkedAt = now;
        const [{ target }] = this.awaited;
        this.check(target);
        this.arm(MIN_CHECK_INTERVAL_MS);
    }
}
