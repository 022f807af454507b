import { StartCounts } from "../startCounts/index.js";

/** Reported windows kept, so that none of them is closed twice. */
const MAX_REPORTED_COUNT = 1_000;

/** Closes a window: its counts never change after this log entry. */
export interface CloseStartsCommand {
    readonly kind: "starts.close";
    /** The window's number: window k begins k window lengths after the epoch. */
    readonly window: number;
    readonly counts: StartCounts;
}

/** Records that the platform has accepted a window's counts. */
export interface StartsReportedCommand {
    readonly kind: "starts.reported";
    readonly window: number;
}

/** A closed window, whose counts never change again. */
export interface ClosedStartWindow {
    readonly window: number;
    readonly counts: StartCounts;
    readonly reported: boolean;
}

/** The closed windows, as stored in a snapshot of the control log. */
export type StartsSnapshot = readonly ClosedStartWindow[];

/**
 * The closed windows of request starts, as state of the control log.
 *
 * Prevents a window from being reported with two different figures: when a holder is lost between the close and the report, its counts
 * are in the log, and its successor reports those instead of its own. Of two closes of a window the first one stands.
 *
 * @example
 * ledger.close({ kind: "starts.close", window: 353_445_120, counts });
 */
export class StartLedger {
    private windows = new Map<number, ClosedStartWindow>();

    /** Highest closed window; undefined before the first close. */
    get lastClosed(): number | undefined {
        return this.windows.size === 0 ? undefined : Math.max(...this.windows.keys());
    }

    /** Whether the counts of a window are final. */
    isClosed(window: number): boolean {
        return window <= (this.lastClosed ?? Number.NEGATIVE_INFINITY);
    }

    /**
     * Closes a window; a window that is closed already stays as it is.
     *
     * @returns The window with its final counts.
     */
    close({ window, counts }: CloseStartsCommand): ClosedStartWindow {
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

    /** Lists the closed windows that the platform has not accepted, oldest first. */
    listUnreported(): readonly ClosedStartWindow[] {
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
        if (reported.length <= MAX_REPORTED_COUNT) return;
        this.windows.delete(Math.min(...reported.map(({ window }) => window)));
    }
}
