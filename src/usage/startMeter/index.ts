import { WorkspaceId } from "../../ids/index.js";
import { StartCounts } from "../startLedger/index.js";

/** Windows older than this are closed on every host and are dropped. */
const RETENTION_MS = 60_000;

/** Request starts that one entry has counted in one window so far. */
export interface StartWindowCounts {
    /** The window's number: true time divided by the window length, rounded down. */
    readonly window: number;
    readonly counts: StartCounts;
}

/**
 * Counts the requests that started to run through one entry, by window of true time. The counts of a window only grow, so a report
 * that is resent or late does no harm.
 *
 * @example
 * meter.recordStart("butcher" as WorkspaceId, trueTime.now());
 */
export class StartMeter {
    private readonly windows = new Map<number, Map<WorkspaceId, number>>();
    /** Workspaces whose counts changed since the changes were last taken, by window. */
    private readonly changed = new Map<number, Set<WorkspaceId>>();
    private readonly listeners: (() => void)[] = [];

    /** @param windowMs - A window's length, in milliseconds. */
    constructor(private readonly windowMs: number) {}

    /**
     * Counts a request start.
     *
     * @param at - True time at which the request started to run, in milliseconds since the epoch.
     */
    recordStart(workspace: WorkspaceId, at: number): void {
        const window = Math.floor(at / this.windowMs);
        const counts = this.windows.get(window) ?? new Map<WorkspaceId, number>();
        counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
        this.windows.set(window, counts);
        const changed = this.changed.get(window) ?? new Set<WorkspaceId>();
        this.changed.set(window, changed.add(workspace));
        for (const listener of this.listeners) listener();
    }

    /** Registers a listener that is called after each request start counted. */
    onStart(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Returns the counts that changed since the previous call. */
    takeChanges(): readonly StartWindowCounts[] {
        const changes = [...this.changed].map(([window, workspaces]) => {
            const counts = [...workspaces].map(workspace => [workspace, this.windows.get(window)?.get(workspace) ?? 0]);
            return { window, counts: Object.fromEntries(counts) as StartCounts };
        });
        this.changed.clear();
        return changes;
    }

    /** Returns the windows of the last minute, and drops older ones. */
    list(now: number): readonly StartWindowCounts[] {
        const oldest = Math.floor((now - RETENTION_MS) / this.windowMs);
        for (const window of this.windows.keys()) {
            if (window < oldest) this.windows.delete(window);
        }
        return [...this.windows].map(([window, counts]) => ({ window, counts: Object.fromEntries(counts) }));
    }
}
