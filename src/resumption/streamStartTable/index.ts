import { RequestId, WorkspaceId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { isSameStart, StreamStart } from "../streamStart/index.js";

/** Maximum number of attempts of which starts are kept; beyond it the oldest are forgotten, and their streams can't be taken up. */
export const MAX_STREAM_STARTS = 65_536;
/** Maximum time for which a start is kept, in milliseconds. */
const MAX_KEEP_MS = 3_600_000;
/** Interval at which expired starts are removed, in milliseconds. */
const SWEEP_INTERVAL_MS = 5_000;
/** Two that differ show that a caller has used an id twice; further ones add nothing. */
const MAX_STARTS_PER_ATTEMPT = 2;

interface KnownAttempt {
    /** Starts that differ; more than one if the caller has used the id more than once. */
    readonly starts: readonly StreamStart[];
    /** Monotonic time at which they expire, in milliseconds. */
    readonly until: number;
}

/**
 * Remembers where streams began, for as long as their callers may take them up again. Starts merge in any order and any number of times.
 *
 * @example
 * table.add(start);
 * const [start] = table.find(workspace, attempt);
 */
export class StreamStartTable {
    /** In the order of their last change. */
    private readonly attempts = new Map<string, KnownAttempt>();
    private sweptAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly clock: Clock, private readonly maxAttempts = MAX_STREAM_STARTS) {}

    /** Number of attempts that are kept. */
    get size(): number {
        return this.attempts.size;
    }

    add(start: StreamStart): void {
        const now = this.clock.monotonic();
        this.sweep(now);
        const key = formatKey(start.workspace, start.attempt);
        const known = this.attempts.get(key);
        const until = Math.max(known?.until ?? 0, now + Math.min(start.keepMs, MAX_KEEP_MS));
        this.attempts.delete(key);
        this.attempts.set(key, { starts: addDistinct(known?.starts ?? [], start), until });
        if (this.attempts.size > this.maxAttempts) this.attempts.delete(this.attempts.keys().next().value!);
    }

    /** Returns where an attempt's stream began: nothing if that is unknown, and several starts if the caller has used its id more than once. */
    find(workspace: WorkspaceId | undefined, attempt: RequestId): readonly StreamStart[] {
        const known = this.attempts.get(formatKey(workspace, attempt));
        return known && known.until > this.clock.monotonic() ? known.starts : [];
    }

    /** Returns all starts, with the time for which they are still kept. */
    list(): StreamStart[] {
        const now = this.clock.monotonic();
        return [...this.attempts.values()].filter(({ until }) => until > now).flatMap(({ starts, until }) =>
            starts.map(start => ({ ...start, keepMs: Math.ceil(until - now) }))
        );
    }

    private sweep(now: number): void {
        if (now - this.sweptAt < SWEEP_INTERVAL_MS) return;
        this.sweptAt = now;
        for (const [key, { until }] of this.attempts) {
            if (until <= now) this.attempts.delete(key);
        }
    }
}

/** Adds a start if it differs from the known ones. */
function addDistinct(known: readonly StreamStart[], start: StreamStart): readonly StreamStart[] {
    const isKnown = known.some(other => isSameStart(other, start));
    return isKnown || known.length >= MAX_STARTS_PER_ATTEMPT ? known : [...known, start];
}

/** An attempt's id counts within its workspace only. */
function formatKey(workspace: WorkspaceId | undefined, attempt: RequestId): string {
    return `${workspace ?? ""}\n${attempt}`;
}
