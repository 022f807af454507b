import { WorkspaceId } from "../../ids/index.js";
import { StartCounts } from "../startsBook/index.js";

/** Windows older than this, in milliseconds, are closed everywhere, and are forgotten. */
const KEPT_MS = 60_000;

/** What one entry has counted in one window so far. */
export interface StartWindow {
    readonly window: number;
    readonly counts: StartCounts;
}

/**
 * Counts the requests that began to run through one entry, by window of true time. The counts of a window only grow, so that a
 * report which is sent again or comes late does no harm.
 *
 * @example
 * meter.note("butcher" as WorkspaceId, trueTime.now());
 */
export class StartMeter {
    private readonly windows = new Map<number, Map<WorkspaceId, number>>();
    /** The workspaces counted since news was last taken, by window. */
    private readonly news = new Map<number, Set<WorkspaceId>>();
    private readonly listeners: (() => void)[] = [];

    /** @param windowMs - A window's length, in milliseconds. */
    constructor(private readonly windowMs: number) {}

    /** @param at - True time at which the request began to run, in milliseconds since the epoch. */
    note(workspace: WorkspaceId, at: number): void {
        const window = Math.floor(at / this.windowMs);
        const counts = this.windows.get(window) ?? new Map<WorkspaceId, number>();
        counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
        this.windows.set(window, counts);
        const news = this.news.get(window) ?? new Set<WorkspaceId>();
        this.news.set(window, news.add(workspace));
        for (const listener of this.listeners) listener();
    }

    /** Calls back after each request counted. */
    onNote(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** The counts that have changed since the last time, once. */
    takeNews(): readonly StartWindow[] {
        const news = [...this.news].map(([window, workspaces]) => {
            const counts = [...workspaces].map(workspace => [workspace, this.windows.get(window)?.get(workspace) ?? 0]);
            return { window, counts: Object.fromEntries(counts) as StartCounts };
        });
        this.news.clear();
        return news;
    }

    /** The windows of the last minute. */
    list(now: number): readonly StartWindow[] {
        const oldest = Math.floor((now - KEPT_MS) / this.windowMs);
        for (const window of this.windows.keys()) {
            if (window < oldest) this.windows.delete(window);
        }
        return [...this.windows].map(([window, counts]) => ({ window, counts: Object.fromEntries(counts) }));
    }
}
