import { FencingToken } from "../../ids/index.js";
import {
    addCounts,
    countOf,
    EntryRunKey,
    hasNoCounts,
    listCounts,
    makeCounts,
    RunStarts,
    StartCounts,
    StartWindowCounts,
} from "../../usage/index.js";
import { HolderTerm } from "../holderTerm/index.js";

/** Closed windows for which late starts are still counted. */
const MAX_TRACKED_WINDOWS = 24;

/**
 * Starts that reach the holder after it has closed their window, as from an entry that was cut off. They are counted in the first open window.
 *
 * Prevents double counts: only the holder that closed a window, in the same term, knows what was counted in it. Late starts of other windows are
 * dropped.
 *
 * @example
 * late.recordClose(term, window, included);
 * const windows = late.carryOver(term, run, [{ window, counts }], openWindow);
 */
export class LateStarts {
    private token: FencingToken | undefined;
    /** By closed window, what was counted for each run. */
    private readonly included = new Map<number, RunStarts>();
    /** Late starts of each run, by the open window that they are counted in. */
    private readonly carried = new RunStarts();

    /**
     * Records that a window is being closed.
     *
     * @param included - What is counted in it, by run.
     */
    recordClose(term: HolderTerm, window: number, included: RunStarts): void {
        this.beginTerm(term);
        this.included.set(window, included);
        for (const oldest of this.included.keys()) {
            if (this.included.size <= MAX_TRACKED_WINDOWS) break;
            this.included.delete(oldest);
        }
        this.carried.dropBefore(window + 1);
    }

    /**
     * Moves a run's starts that were not counted in their closed windows to an open one.
     *
     * @returns The run's totals of late starts in the open window; undefined when there are no new ones.
     */
    carryOver(
        term: HolderTerm,
        run: EntryRunKey,
        closed: readonly StartWindowCounts[],
        openWindow: number,
    ): StartWindowCounts | undefined {
        this.beginTerm(term);
        const increases = closed.map(counts => this.countIncrease(run, counts));
        const sum = increases.reduce(addCounts, {});
        if (hasNoCounts(sum)) return undefined;
        const totals = addCounts(this.carried.countsOf(run, openWindow), sum);
        this.carried.merge(run, [{ window: openWindow, counts: totals }]);
        return { window: openWindow, counts: totals };
    }

    private beginTerm({ token }: HolderTerm): void {
        if (this.token === token) return;
        this.token = token;
        this.included.clear();
        this.carried.clear();
    }

    private countIncrease(run: EntryRunKey, { window, counts }: StartWindowCounts): StartCounts {
        const included = this.included.get(window);
        if (!included) return {};
        const previous = included.countsOf(run, window);
        const [increased] = included.merge(run, [{ window, counts }]);
        if (!increased) return {};
        return makeCounts(
            listCounts(increased.counts).map(([workspace, count]) => [workspace, count - countOf(previous, workspace)]),
        );
    }
}
