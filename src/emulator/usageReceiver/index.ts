import { isDeepStrictEqual } from "node:util";
import { UsageReport } from "../../protocol/index.js";

/** A usage report with when it came. */
export interface ReceivedReport {
    readonly report: UsageReport;
    /** Milliseconds on the monotonic clock. */
    readonly at: number;
    /** It was refused for an old fencing token. */
    readonly isStale: boolean;
}

/** What the reports came to up to now. */
export interface UsageStats {
    /** Reports received, resends included. */
    readonly received: number;
    /** Report ids accepted. */
    readonly reports: number;
    /** Windows reported. */
    readonly windows: number;
    /** Report ids that came again with other figures. */
    readonly conflicting: number;
    /** Windows that came under more than one report id without naming what they adjust. */
    readonly doubledWindows: number;
    /** Reports accepted with an older fencing token than one before. */
    readonly reversals: number;
    readonly completionTokens: number;
    readonly requests: number;
}

/**
 * Keeps every usage report, and says which windows were reported twice with different figures.
 *
 * @example
 * if (receiver.receive(report, clock.monotonic())) accept();
 */
export class UsageReceiver {
    /** In the order of arrival. */
    readonly received: ReceivedReport[] = [];
    private readonly accepted = new Map<string, UsageReport>();
    private readonly conflicting = new Set<string>();
    private highestToken = Number.NEGATIVE_INFINITY;
    private reversals = 0;

    /** @param checksFence - Whether old fencing tokens are refused. */
    constructor(private readonly checksFence: boolean) {}

    /**
     * Takes in a report.
     *
     * @param report - The report.
     * @param at - Milliseconds on the monotonic clock.
     * @returns False when it is refused for its fencing token.
     */
    receive(report: UsageReport, at: number): boolean {
        const isOld = report.fencing_token < this.highestToken;
        const isStale = isOld && this.checksFence;
        this.highestToken = Math.max(this.highestToken, report.fencing_token);
        this.received.push({ report, at, isStale });
        if (isStale) return false;
        if (isOld) this.reversals++;
        const first = this.accepted.get(report.report_id);
        if (!first) this.accepted.set(report.report_id, report);
        else if (!hasSameFigures(first, report)) this.conflicting.add(report.report_id);
        return true;
    }

    /** The ids of reports that came again with other figures. */
    conflicts(): string[] {
        return [...this.conflicting];
    }

    /** What the reports came to up to now. */
    stats(): UsageStats {
        const reports = [...this.accepted.values()];
        const plain = reports.filter(report => !("adjusts" in report));
        const windows = new Set(plain.map(report => report.window_start));
        const lines = reports.flatMap(report => report.lines);
        return {
            received: this.received.length,
            reports: reports.length,
            windows: windows.size,
            conflicting: this.conflicting.size,
            doubledWindows: plain.length - windows.size,
            reversals: this.reversals,
            completionTokens: lines.reduce((sum, line) => sum + line.completion_tokens, 0),
            requests: lines.reduce((sum, line) => sum + line.requests, 0),
        };
    }
}

function hasSameFigures(a: UsageReport, b: UsageReport): boolean {
    return a.window_start === b.window_start && a.window_ms === b.window_ms && isDeepStrictEqual(a.lines, b.lines);
}
