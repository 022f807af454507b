import { WorkspaceId } from "../../ids/index.js";
import { StartWindow } from "../startMeter/index.js";
import { StartCounts } from "../startsBook/index.js";

/** One run of an entry: its host and incarnation. */
export type RunName = string;

/** What a run has counted, window by window. */
export interface RunReport {
    readonly run: RunName;
    readonly windows: readonly StartWindow[];
}

/** Keeps counts of windows that are not closed yet, so that they outlive all processes that have heard them. */
export interface NoteStartsCommand {
    readonly kind: "starts.note";
    readonly runs: readonly RunReport[];
}

type WindowCounts = Map<number, StartCounts>;

/**
 * Started requests by run of an entry and by window. The counts of a run only grow, so that of two the larger is the later, and the same
 * report may be merged twice.
 *
 * @example
 * starts.merge("entry-1 7", [{ window: 353_445_120, counts }]);
 * starts.sum(353_445_120);
 */
export class RunStarts {
    private readonly runs = new Map<RunName, WindowCounts>();

    get isEmpty(): boolean {
        return this.runs.size === 0;
    }

    /**
     * Takes in what a run has counted.
     *
     * @returns What of it was not known.
     */
    merge(run: RunName, windows: readonly StartWindow[]): readonly StartWindow[] {
        const known = this.runs.get(run) ?? new Map<number, StartCounts>();
        if (windows.length > 0) this.runs.set(run, known);
        return windows.flatMap(({ window, counts }) => {
            const before = known.get(window) ?? {};
            const grown = listGrown(before, counts);
            known.set(window, { ...before, ...grown });
            return Object.keys(grown).length > 0 ? [{ window, counts: grown }] : [];
        });
    }

    /** Takes in what others have merged. */
    mergeAll(reports: readonly RunReport[]): void {
        for (const { run, windows } of reports) this.merge(run, windows);
    }

    /** All that is known, run by run. */
    list(): readonly RunReport[] {
        return [...this.runs].map(([run, windows]) => ({
            run,
            windows: [...windows].map(([window, counts]) => ({ window, counts })),
        }));
    }

    /** What all runs together have counted in a window. */
    sum(window: number): StartCounts {
        const sums: Record<WorkspaceId, number> = {};
        for (const windows of this.runs.values()) {
            for (const [name, count] of Object.entries(windows.get(window) ?? {})) {
                const workspace = name as WorkspaceId;
                sums[workspace] = (sums[workspace] ?? 0) + count;
            }
        }
        return sums;
    }

    /** The first window that any run has counted in; undefined when there is none. */
    firstWindow(): number | undefined {
        const windows = [...this.runs.values()].flatMap(known => [...known.keys()]);
        return windows.length === 0 ? undefined : Math.min(...windows);
    }

    /** Forgets windows before this one. */
    forgetBefore(oldest: number): void {
        this.forget(window => window < oldest);
    }

    /** Forgets the windows that are named. */
    forget(isForgotten: (window: number) => boolean): void {
        for (const [run, windows] of this.runs) {
            for (const window of windows.keys()) {
                if (isForgotten(window)) windows.delete(window);
            }
            if (windows.size === 0) this.runs.delete(run);
        }
    }

    clear(): void {
        this.runs.clear();
    }
}

function listGrown(before: StartCounts, counts: StartCounts): StartCounts {
    const grown = Object.entries(counts).filter(([name, count]) => count > (before[name as WorkspaceId] ?? 0));
    return Object.fromEntries(grown) as StartCounts;
}
