import { WorkspaceId } from "../../ids/index.js";
import { countOf, hasNoCounts, listCounts, makeCounts, StartCounts } from "../startCounts/index.js";
import { StartWindowCounts } from "../startMeter/index.js";

/** Identifies one run of an entry process: its host and incarnation, separated by a space. */
export type EntryRunKey = string;

/** Request starts that one run of an entry has counted, by window. */
export interface RunStartWindows {
    readonly run: EntryRunKey;
    readonly windows: readonly StartWindowCounts[];
}

/**
 * Writes the counts of windows that are not closed yet to the control log, so that they survive the loss of every process that has
 * received them.
 */
export interface RecordStartsCommand {
    readonly kind: "starts.note";
    readonly runs: readonly RunStartWindows[];
}

type CountsByWindow = Map<number, StartCounts>;

/**
 * Request starts by run of an entry and by window. The counts of a run only grow, so the larger of two counts is the later one, and
 * merging a report again changes nothing.
 *
 * @example
 * starts.merge("entry-1 7", [{ window: 353_445_120, counts }]);
 * starts.sum(353_445_120);
 */
export class RunStarts {
    private readonly runs = new Map<EntryRunKey, CountsByWindow>();

    get isEmpty(): boolean {
        return this.runs.size === 0;
    }

    /**
     * Merges the counts that a run has reported.
     *
     * @returns The counts that were higher than the stored ones.
     */
    merge(run: EntryRunKey, windows: readonly StartWindowCounts[]): readonly StartWindowCounts[] {
        const stored = this.runs.get(run) ?? new Map<number, StartCounts>();
        if (windows.length > 0) this.runs.set(run, stored);
        return windows.flatMap(({ window, counts }) => {
            const previous = stored.get(window) ?? {};
            const increased = selectIncreased(previous, counts);
            stored.set(window, { ...previous, ...increased });
            return hasNoCounts(increased) ? [] : [{ window, counts: increased }];
        });
    }

    /** Merges the reports of several runs. */
    mergeAll(reports: readonly RunStartWindows[]): void {
        for (const { run, windows } of reports) this.merge(run, windows);
    }

    /** Returns the counts of a run in a window. */
    countsOf(run: EntryRunKey, window: number): StartCounts {
        return this.runs.get(run)?.get(window) ?? {};
    }

    /** Whether the stored counts of a run in a window are at least these. */
    covers(run: EntryRunKey, { window, counts }: StartWindowCounts): boolean {
        return hasNoCounts(selectIncreased(this.countsOf(run, window), counts));
    }

    /** Lists the counts of every run. */
    list(): readonly RunStartWindows[] {
        return [...this.runs].map(([run, windows]) => ({
            run,
            windows: [...windows].map(([window, counts]) => ({ window, counts })),
        }));
    }

    /** Returns the request starts in a window, summed over all runs. */
    sum(window: number): StartCounts {
        const sums = new Map<WorkspaceId, number>();
        for (const windows of this.runs.values()) {
            for (const [workspace, count] of listCounts(windows.get(window) ?? {})) {
                sums.set(workspace, (sums.get(workspace) ?? 0) + count);
            }
        }
        return makeCounts(sums);
    }

    /** Returns the earliest window that has counts; undefined when there are none. */
    earliestWindow(): number | undefined {
        const windows = [...this.runs.values()].flatMap(known => [...known.keys()]);
        return windows.length === 0 ? undefined : Math.min(...windows);
    }

    /** Removes the windows before this one. */
    dropBefore(oldest: number): void {
        this.dropWhere(window => window < oldest);
    }

    /** Removes the windows for which the predicate holds. */
    dropWhere(isDropped: (window: number) => boolean): void {
        for (const [run, windows] of this.runs) {
            for (const window of windows.keys()) {
                if (isDropped(window)) windows.delete(window);
            }
            if (windows.size === 0) this.runs.delete(run);
        }
    }

    clear(): void {
        this.runs.clear();
    }
}

function selectIncreased(previous: StartCounts, counts: StartCounts): StartCounts {
    return makeCounts(listCounts(counts).filter(([workspace, count]) => count > countOf(previous, workspace)));
}
