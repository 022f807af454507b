import { WorkspaceId } from "../../ids/index.js";
import { PositionCounter } from "../positionCounter/index.js";
import { makeCounts, StartCounts } from "../startCounts/index.js";

/** Windows older than this are closed on every host and are dropped. */
const RETENTION_MS = 60_000;

/** Request starts that one entry has counted in one window so far. */
export interface StartWindowCounts {
    /** The window's number: true time divided by the window length, rounded down. */
    readonly window: number;
    readonly counts: StartCounts;
}

/** The starts of one workspace in one window. */
interface StartTotal {
    count: number;
    /** Position of the latest start. */
    changedAt: number;
}

/**
 * Counts the requests that started to run through one entry, by window of true time. The counts of a window only grow, so a report
 * that is resent or late does no harm.
 *
 * @example
 * meter.recordStart("butcher" as WorkspaceId, trueTime.now());
 */
export class StartMeter {
    private readonly windows = new Map<number, Map<WorkspaceId, StartTotal>>();
    private readonly listeners: (() => void)[] = [];

    /**
     * @param windowMs - A window's length, in milliseconds.
     * @param positions - Numbers the starts.
     */
    constructor(private readonly windowMs: number, private readonly positions = new PositionCounter()) {}

    /**
     * Counts a request start.
     *
     * @param at - True time at which the request started to run, in milliseconds since the epoch.
     * @returns The start's position.
     */
    recordStart(workspace: WorkspaceId, at: number): number {
        const window = Math.floor(at / this.windowMs);
        const totals = this.findOrOpenWindow(window);
        const total = totals.get(workspace) ?? { count: 0, changedAt: 0 };
        total.count++;
        total.changedAt = this.positions.next();
        totals.set(workspace, total);
        for (const listener of this.listeners) listener();
        return total.changedAt;
    }

    /** Registers a listener that is called after each request start counted. */
    onStart(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Returns the totals that changed after a position. */
    listChanges(after: number): readonly StartWindowCounts[] {
        return [...this.windows].flatMap(([window, totals]) => {
            const changed = [...totals].filter(([, { changedAt }]) => changedAt > after);
            if (changed.length === 0) return [];
            return [{ window, counts: makeCounts(changed.map(([workspace, { count }]) => [workspace, count])) }];
        });
    }

    private findOrOpenWindow(window: number): Map<WorkspaceId, StartTotal> {
        const known = this.windows.get(window);
        if (known) return known;
        this.dropBefore(window - RETENTION_MS / this.windowMs);
        const opened = new Map<WorkspaceId, StartTotal>();
        this.windows.set(window, opened);
        return opened;
    }

    private dropBefore(oldest: number): void {
        for (const window of this.windows.keys()) {
            if (window < oldest) this.windows.delete(window);
        }
    }
}
