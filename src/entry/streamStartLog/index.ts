import { RequestId, WorkspaceId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { groupStarts, StreamStart, StreamStartTable } from "../../resumption/index.js";
import { PositionCounter, UsageChanges } from "../../usage/index.js";
import { UsageSource } from "../usageReplicator/index.js";

/** Maximum number of starts that are reported again to a control process that has lost them. */
const MAX_REPORTED_STARTS = 16_384;

interface RecordedStart {
    readonly position: number;
    /** Monotonic time at which it expires, in milliseconds. */
    readonly until: number;
    readonly start: StreamStart;
}

/**
 * The starts of streams through this entry. They are reported to the control processes together with the entry's usage, which makes them as
 * durable, and kept here for as long as their callers may return.
 *
 * @example
 * const log = new StreamStartLog(clock, positions);
 * replicator.add(log);
 * const position = log.record(start);
 */
export class StreamStartLog implements UsageSource {
    private readonly table: StreamStartTable;
    /** In the order of their positions. */
    private recorded: RecordedStart[] = [];

    /** @param positions - Numbers the starts, together with the entry's usage. */
    constructor(private readonly clock: Clock, private readonly positions: PositionCounter) {
        this.table = new StreamStartTable(clock, MAX_REPORTED_STARTS);
    }

    /** Records a start; returns its position. */
    record(start: StreamStart): number {
        this.table.add(start);
        this.dropExpired();
        const position = this.positions.next();
        this.recorded.push({ position, until: this.clock.monotonic() + start.keepMs, start });
        return position;
    }

    /** Returns where an attempt's stream began, as far as it went through this entry. */
    find(workspace: WorkspaceId | undefined, attempt: RequestId): readonly StreamStart[] {
        return this.table.find(workspace, attempt);
    }

    listChanges(after: number): Pick<UsageChanges, "streams"> {
        const first = this.recorded.findLastIndex(({ position }) => position <= after) + 1;
        return { streams: groupStarts(this.recorded.slice(first).map(({ start }) => start)) };
    }

    /** Does nothing: starts are not in the control log, and are kept until they expire. */
    dropRecorded(): void {}

    private dropExpired(): void {
        const now = this.clock.monotonic();
        const excess = this.recorded.length - MAX_REPORTED_STARTS + 1;
        const isDropped = ({ until }: RecordedStart, index: number): boolean => until <= now || index < excess;
        if (this.recorded.length === 0 || !isDropped(this.recorded[0], 0)) return;
        this.recorded = this.recorded.filter((each, index) => !isDropped(each, index));
    }
}
