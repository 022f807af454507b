import { HostId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";

/** A wall clock that has moved against the steady clock by more than this was set, in milliseconds; drift moves it slowly. */
const STEP_MS = 150;
/** A clock that was set and stays so for this long is believed, in milliseconds. */
const BELIEVED_AFTER_MS = 600_000;

interface Source {
    /** Its wall time less our steady time, in milliseconds, as believed. */
    offset: number;
    /** The same, as last read. */
    latest: number;
    /** When it was first seen to differ from what is believed; undefined while it agrees. */
    steppedAt: number | undefined;
}

/**
 * The fleet's estimate of wall time: the median over the wall clocks of several hosts, each held against the steady clock here.
 *
 * Guards against hosts whose time of day jumps by seconds, this one's too: requests would be counted in the wrong usage window.
 * A jump is seen as a change against the steady clock, which never jumps, and is left out; the median covers a host that
 * was wrong from the start. A machine that was suspended has a steady clock that stood still: its own wall clock and those of most
 * others have then moved by the same, and that alone is believed.
 *
 * @example
 * time.learn("control-1" as HostId, reply.wallMs);
 * const window = Math.floor(time.now() / windowMs);
 */
export class TrueTime {
    private readonly sources = new Map<HostId, Source>();
    private readonly own: Source;

    constructor(private readonly clock: Clock) {
        this.own = makeSource(this.readOwnOffset());
    }

    /**
     * Takes a reading of another host's wall clock.
     *
     * @param wallMs - Its wall time at about this moment, in milliseconds since the epoch.
     */
    learn(host: HostId, wallMs: number): void {
        const now = this.clock.monotonic();
        const source = this.sources.get(host);
        if (source) follow(source, wallMs - now, now);
        else this.sources.set(host, makeSource(wallMs - now));
    }

    /** The estimate of true wall time, in milliseconds since the epoch. */
    now(): number {
        const now = this.clock.monotonic();
        follow(this.own, this.readOwnOffset(), now);
        this.noticeSuspension();
        const offsets = [...this.sources.values()].map(({ offset }) => offset);
        if (offsets.length === 0) return now + this.own.offset;
        offsets.sort((a, b) => a - b);
        return now + offsets[Math.floor((offsets.length - 1) / 2)];
    }

    private noticeSuspension(): void {
        const jumpMs = this.own.latest - this.own.offset;
        if (jumpMs < STEP_MS) return;
        const all = [...this.sources.values()];
        const agreeing = all.filter(({ latest, offset }) => Math.abs(latest - offset - jumpMs) < STEP_MS);
        if (agreeing.length * 2 < all.length || all.length === 0) return;
        for (const source of [this.own, ...all]) {
            source.offset += jumpMs;
            source.steppedAt = undefined;
        }
    }

    private readOwnOffset(): number {
        return this.clock.now() - this.clock.monotonic();
    }
}

function makeSource(offset: number): Source {
    return { offset, latest: offset, steppedAt: undefined };
}

function follow(source: Source, offset: number, now: number): void {
    source.latest = offset;
    const isStep = Math.abs(offset - source.offset) >= STEP_MS;
    if (isStep) source.steppedAt ??= now;
    else source.steppedAt = undefined;
    const isBelieved = !isStep || now - source.steppedAt! >= BELIEVED_AFTER_MS;
    if (!isBelieved) return;
    source.offset = offset;
    source.steppedAt = undefined;
}
