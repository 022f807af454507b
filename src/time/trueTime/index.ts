import { HostId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** Smallest change of a wall clock against the monotonic clock that counts as a step; drift causes smaller changes between readings. */
const MIN_STEP_MS = 150;
/** Time for which a stepped clock must keep differing before its new time is accepted. */
const ACCEPT_STEP_AFTER_MS = 600_000;

/** Wall clock of one host, as offsets from this process's monotonic clock. */
interface ClockSource {
    /** Offset that is used for the estimate, in milliseconds. */
    acceptedOffsetMs: number;
    /** Offset at the last reading, in milliseconds. */
    latestOffsetMs: number;
    /** Monotonic time at which the offset first differed from the accepted one, in milliseconds; undefined while they agree. */
    steppedAtMs: number | undefined;
}

/**
 * Estimate of wall time: the median over the wall clocks of several hosts, each as an offset from the local monotonic clock.
 *
 * Tolerates wall clocks that jump by seconds, including the local one; otherwise requests would be counted in the wrong usage
 * window. A jump shows as a change of the offset, since the monotonic clock never jumps, and is ignored. The median covers
 * hosts whose clock was wrong from the start. After a suspension of this machine, during which its monotonic clock stood
 * still, the wall clocks of this host and of at least half of the others have moved by the same amount; only such a jump is
 * accepted at once.
 *
 * @example
 * time.addReading("control-1" as HostId, reply.wallMs);
 * const window = Math.floor(time.now() / windowMs);
 */
export class TrueTime {
    private readonly sources = new Map<HostId, ClockSource>();
    private readonly own: ClockSource;

    constructor(private readonly clock: Clock) {
        this.own = makeSource(this.readOwnOffsetMs());
    }

    /**
     * Records a reading of another host's wall clock.
     *
     * @param wallMs - The host's current wall time, in milliseconds since the epoch.
     */
    addReading(host: HostId, wallMs: number): void {
        const nowMs = this.clock.monotonic();
        const source = this.sources.get(host);
        if (source) updateSource(source, wallMs - nowMs, nowMs);
        else this.sources.set(host, makeSource(wallMs - nowMs));
    }

    /** Returns the estimated wall time, in milliseconds since the epoch. */
    now(): number {
        const nowMs = this.clock.monotonic();
        updateSource(this.own, this.readOwnOffsetMs(), nowMs);
        this.applySuspension();
        const offsets = [...this.sources.values()].map(({ acceptedOffsetMs }) => acceptedOffsetMs);
        if (offsets.length === 0) return nowMs + this.own.acceptedOffsetMs;
        offsets.sort((a, b) => a - b);
        return nowMs + offsets[Math.floor((offsets.length - 1) / 2)];
    }

    /** Accepts a forward jump that the local clock and at least half of the others share: this machine was suspended. */
    private applySuspension(): void {
        const jumpMs = this.own.latestOffsetMs - this.own.acceptedOffsetMs;
        if (jumpMs < MIN_STEP_MS) return;
        const all = [...this.sources.values()];
        const agreeing = all.filter(({ latestOffsetMs, acceptedOffsetMs }) =>
            Math.abs(latestOffsetMs - acceptedOffsetMs - jumpMs) < MIN_STEP_MS
        );
        if (agreeing.length * 2 < all.length || all.length === 0) return;
        for (const source of [this.own, ...all]) {
            source.acceptedOffsetMs += jumpMs;
            source.steppedAtMs = undefined;
        }
    }

    private readOwnOffsetMs(): number {
        return this.clock.now() - this.clock.monotonic();
    }
}

function makeSource(offsetMs: number): ClockSource {
    return { acceptedOffsetMs: offsetMs, latestOffsetMs: offsetMs, steppedAtMs: undefined };
}

/** Records an offset, and accepts it unless it is a step that has not lasted long enough. */
function updateSource(source: ClockSource, offsetMs: number, nowMs: number): void {
    source.latestOffsetMs = offsetMs;
    const isStep = Math.abs(offsetMs - source.acceptedOffsetMs) >= MIN_STEP_MS;
    if (isStep) source.steppedAtMs ??= nowMs;
    else source.steppedAtMs = undefined;
    const isAccepted = !isStep || nowMs - source.steppedAtMs! >= ACCEPT_STEP_AFTER_MS;
    if (!isAccepted) return;
    source.acceptedOffsetMs = offsetMs;
    source.steppedAtMs = undefined;
}
