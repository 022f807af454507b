import { WorkspaceId } from "../../ids/index.js";

/** How many windows that were reported are remembered, so that none of them is closed twice. */
const REPORTED_KEPT = 1_000;

/** How many requests of each workspace began to run. */
export type StartCounts = Readonly<Record<WorkspaceId, number>>;

/** Freezes a window's counts. */
export interface CloseStartsCommand {
    readonly kind: "starts.close";
    /** The window's number: window k begins k window lengths after the start of 1970. */
    readonly window: number;
    readonly counts: StartCounts;
}

/** The platform has accepted a window's counts. */
export interface StartsReportedCommand {
    readonly kind: "starts.reported";
    readonly window: number;
}

/** A window whose counts never change again. */
export interface ClosedStarts {
    readonly window: number;
    readonly counts: StartCounts;
    readonly reported: boolean;
}

/** The closed windows, for a snapshot of the log. */
export type StartsSnapshot = readonly ClosedStarts[];

/**
 * The windows of started requests, as the control log keeps them.
 *
 * Guards against a window reported with two figures: a holder that is lost between the close and the report leaves its counts in the
 * log, and its successor reports those, whatever it would have counted itself. Of two closes the first holds.
 *
 * @example
 * book.close({ kind: "starts.close", window: 353_445_120, counts });
 */
export class StartsBook {
    private windows = new Map<number, ClosedStarts>();

    /** The highest window closed; undefined before the first. */
    get lastClosed(): number | undefined {
        return this.windows.size === 0 ? undefined : Math.max(...this.windows.keys());
    }

    /** Whether the counts of a window can't change any more. */
    isClosed(window: number): boolean {
        return window <= (this.lastClosed ?? Number.NEGATIVE_INFINITY);
    }

    /** @returns The counts that hold for the window. */
    close({ window, counts }: CloseStartsCommand): ClosedStarts {
        const known = this.windows.get(window);
        if (known) return known;
        const closed = { window, counts, reported: false };
        this.windows.set(window, closed);
        this.forgetOldest();
        return closed;
    }

    markReported({ window }: StartsReportedCommand): void {
        const known = this.windows.get(window);
        if (known) this.windows.set(window, { ...known, reported: true });
    }

    /** The closed windows that the platform has not accepted, the oldest first. */
    listUnreported(): readonly ClosedStarts[] {
        const open = [...this.windows.values()].filter(({ reported }) => !reported);
        return open.sort((a, b) => a.window - b.window);
    }

    snapshot(): StartsSnapshot {
        return [...this.windows.values()];
    }

    restore(snapshot: StartsSnapshot): void {
        this.windows = new Map(snapshot.map(closed => [closed.window, closed]));
    }

    private forgetOldest(): void {
        const reported = [...this.windows.values()].filter(closed => closed.reported);
        if (reported.length <= REPORTED_KEPT) return;
        this.windows.delete(Math.min(...reported.map(({ window }) => window)));
    }
}
