import { isDeepStrictEqual } from "node:util";
import { UsageReport } from "../../protocol/index.js";

/** Received usage report. */
export interface ReceivedReport {
    readonly report: UsageReport;
    /** Arrival, in milliseconds on the monotonic clock. */
    readonly at: number;
    /** Whether it was refused for an old fencing token. */
    readonly isStale: boolean;
}

/** Statistics of the usage reports. */
export interface UsageStats {
    /** Reports received, resends included. */
    readonly received: number;
    /** Number of different report ids accepted. */
    readonly reports: number;
    /** Number of windows reported, adjustments not counted. */
    readonly windows: number;
    /** Number of report ids that were resent with different figures. */
    readonly conflicting: number;
    /** Surplus reports of windows reported under several ids, adjustments not counted. */
    readonly doubledWindows: number;
    /** Reports accepted although an earlier report had a newer fencing token. */
    readonly reversals: number;
    /** Completion tokens in all accepted reports. */
    readonly completionTokens: number;
    /** Requests in all accepted reports. */
    readonly requests: number;
}

/**
 * Records every usage report, and detects windows that were reported twice or resent with different figures.
 *
 * @example
 * if (receiver.receive(report, clock.monotonic())) accept();
 */
export class UsageReceiver {
    /** All reports, by arrival. */
    readonly received: ReceivedReport[] = [];
    private readonly acceptedReports = new Map<string, UsageReport>();
    private readonly conflictingReportIds = new Set<string>();
    private highestFencingToken = Number.NEGATIVE_INFINITY;
    private reversalCount = 0;

    /** @param checksFence - Whether reports with an old fencing token are refused. */
    constructor(private readonly checksFence: boolean) {}

    /**
     * Records a report.
     *
     * @param report - Report to record.
     * @param at - Arrival, in milliseconds on the monotonic clock.
     * @returns False if it is refused for its fencing token.
     */
    receive(report: UsageReport, at: number): boolean {
        const hasOldToken = report.fencing_token < this.highestFencingToken;
        const isStale = hasOldToken && this.checksFence;
        this.highestFencingToken = Math.max(this.highestFencingToken, report.fencing_token);
        this.received.push({ report, at, isStale });
        if (isStale) return false;
        if (hasOldToken) this.reversalCount++;
        const previous = this.acceptedReports.get(report.report_id);
        if (!previous) this.acceptedReports.set(report.report_id, report);
        else if (!hasSameFigures(previous, report)) this.conflictingReportIds.add(report.report_id);
        return true;
    }

    /** Returns the ids of reports that were resent with different figures. */
    conflictingIds(): string[] {
        return [...this.conflictingReportIds];
    }

    /** Returns the statistics so far. */
    stats(): UsageStats {
        const reports = [...this.acceptedReports.values()];
        const originals = reports.filter(report => !("adjusts" in report));
        const windows = new Set(originals.map(report => report.window_start));
        const lines = reports.flatMap(report => report.lines);
        return {
            received: this.received.length,
            reports: reports.length,
            windows: windows.size,
            conflicting: this.conflictingReportIds.size,
            doubledWindows: originals.length - windows.size,
            reversals: this.reversalCount,
            completionTokens: lines.reduce((sum, line) => sum + line.completion_tokens, 0),
            requests: lines.reduce((sum, line) => sum + line.requests, 0),
        };
    }
}

function hasSameFigures(a: UsageReport, b: UsageReport): boolean {
    return a.window_start === b.window_start && a.window_ms === b.window_ms && isDeepStrictEqual(a.lines, b.lines);
}
