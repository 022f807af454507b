import type { ApplyContext } from "../../consensus/index.js";
import type { ReportId, WindowStart } from "../../ids/index.js";
import type { UsageLine } from "../../protocol/index.js";
import { SequenceRange, SequenceSet } from "../sequenceSet/index.js";
import type { UsageBatchCommand, UsageBatchId, UsageSum } from "../usageCommands/index.js";

/** Reported windows that keep their lines, for operators to read. */
const MAX_DETAILED_REPORTED_COUNT = 8;
/** Reported windows that are listed, the older ones without their lines. */
const MAX_LISTED_REPORTED_COUNT = 500;
/** A run of an entry is dropped when its last batch is this old. */
const RUN_RETENTION_MS = 7 * 24 * 3_600_000;

/** Closes a window: its figures never change after this log entry. */
export interface CloseUsageCommand {
    readonly kind: "usage.close";
    readonly window: WindowStart;
    /** The window's length, in milliseconds. */
    readonly windowMs: number;
}

/** Records that the platform has accepted a window's report. */
export interface UsageReportedCommand {
    readonly kind: "usage.reported";
    readonly reportId: ReportId;
}

/** Usage that arrived after its window had closed and was counted in a later one. */
export interface Adjustment {
    /** The closed window to which the usage belongs. */
    readonly of: WindowStart;
    readonly line: UsageLine;
}

/** A window that still accepts usage. */
export interface OpenWindow {
    readonly window: WindowStart;
    readonly lines: readonly UsageLine[];
    readonly adjustments: readonly Adjustment[];
}

/** A closed window. Its `lines` include the adjustments. */
export interface ClosedWindow extends OpenWindow {
    readonly windowMs: number;
    readonly reportId: ReportId;
    readonly closedAt: number;
    readonly reportedAt?: number;
}

/** Whether a batch was counted; false for a duplicate. */
export interface BatchResult {
    readonly counted: boolean;
}

/** One run of an entry, as stored in a snapshot. */
interface UsageRun {
    readonly host: string;
    readonly incarnation: string;
    /** Sequence numbers of the batches received. */
    readonly seen: readonly SequenceRange[];
    /** Wall time of the last batch, in milliseconds since the epoch. */
    readonly at: number;
}

/** State of the usage windows in a snapshot of the control log. */
export interface UsageSnapshot {
    /** Usage of windows that start before this time is late. */
    readonly openFrom: number;
    readonly open: readonly OpenWindow[];
    readonly closed: readonly ClosedWindow[];
    readonly runs: readonly UsageRun[];
}

interface RunState {
    readonly host: string;
    readonly incarnation: string;
    readonly seen: SequenceSet;
    at: number;
}

interface WindowState {
    readonly lines: Map<string, UsageLine>;
    readonly adjustments: Map<string, Adjustment>;
}

/**
 * Usage by window, as state of the control log.
 *
 * Prevents usage from being billed twice or with two different figures: a batch resent after a lost answer, or through a new holder,
 * is recognised by its (host, incarnation, sequence) and dropped, and a closed window's figures are stored, so that every holder
 * reports the same ones.
 *
 * @example
 * ledger.count(batch, context);
 */
export class UsageLedger {
    private readonly open = new Map<WindowStart, WindowState>();
    private readonly closed = new Map<ReportId, ClosedWindow>();
    private readonly runs = new Map<string, RunState>();
    private openFrom = 0;

    /** Adds a batch's sums unless the batch was counted before. */
    count(batch: UsageBatchCommand, context: ApplyContext): BatchResult {
        if (!this.recordBatch(batch, context)) return { counted: false };
        for (const sum of batch.sums) this.addSum(sum);
        return { counted: true };
    }

    /** Whether a batch has been counted. */
    hasCounted({ host, incarnation, sequence }: UsageBatchId): boolean {
        return this.runs.get(`${host} ${incarnation}`)?.seen.has(sequence) ?? false;
    }

    /** Freezes a window's figures. Closing it again changes nothing. */
    close({ window, windowMs }: CloseUsageCommand, context: ApplyContext): void {
        if (window < this.openFrom) return;
        const earlier = [...this.open.keys()].filter(start => start <= window).sort((a, b) => a - b);
        for (const start of earlier) this.freeze(start, windowMs, context);
        this.openFrom = window + windowMs;
    }

    /** Records that the platform has accepted a window's report. */
    markReported({ reportId }: UsageReportedCommand, context: ApplyContext): void {
        const closed = this.closed.get(reportId);
        if (!closed || closed.reportedAt !== undefined) return;
        this.closed.delete(reportId);
        this.closed.set(reportId, { ...closed, reportedAt: context.proposedAt });
        this.trimReported();
    }

    /** Lists the starts of the open windows, oldest first. */
    listOpenStarts(): readonly WindowStart[] {
        return [...this.open.keys()].sort((a, b) => a - b);
    }

    /** Lists the open windows, oldest first. */
    listOpen(): readonly OpenWindow[] {
        return this.listOpenStarts().map(window => this.describeOpen(window));
    }

    /** Lists the closed windows, reported or not, oldest first. */
    listClosed(): readonly ClosedWindow[] {
        return [...this.closed.values()].sort((a, b) => a.window - b.window);
    }

    /** Lists the closed windows whose report the platform has not accepted, oldest first. */
    listUnreported(): readonly ClosedWindow[] {
        return this.listClosed().filter(closed => closed.reportedAt === undefined);
    }

    snapshot(): UsageSnapshot {
        const runs = [...this.runs.values()];
        return {
            openFrom: this.openFrom,
            open: this.listOpen(),
            closed: [...this.closed.values()],
            runs: runs.map(({ host, incarnation, seen, at }) => ({ host, incarnation, seen: seen.snapshot(), at })),
        };
    }

    restore(snapshot: UsageSnapshot): void {
        for (const map of [this.open, this.closed, this.runs]) map.clear();
        this.openFrom = snapshot.openFrom;
        for (const { window, lines, adjustments } of snapshot.open) {
            const state = this.findOrOpenWindow(window);
            for (const line of lines) state.lines.set(lineKey(line), line);
            for (const each of adjustments) state.adjustments.set(adjustmentKey(each), each);
        }
        for (const closed of snapshot.closed) this.closed.set(closed.reportId, closed);
        for (const { host, incarnation, seen, at } of snapshot.runs) {
            this.runs.set(`${host} ${incarnation}`, { host, incarnation, seen: new SequenceSet(seen), at });
        }
    }

    private recordBatch({ host, incarnation, sequence }: UsageBatchCommand, context: ApplyContext): boolean {
        const key = `${host} ${incarnation}`;
        const run = this.runs.get(key) ?? { host, incarnation, seen: new SequenceSet(), at: 0 };
        // Deleted and set again to keep the map in the order of last use.
        this.runs.delete(key);
        run.at = context.proposedAt;
        this.runs.set(key, run);
        for (const [oldestKey, { at }] of this.runs) {
            if (context.proposedAt - at <= RUN_RETENTION_MS) break;
            this.runs.delete(oldestKey);
        }
        return run.seen.add(sequence);
    }

    /** Adds a sum that has not been counted before; late usage goes to the first open window, with an adjustment. */
    addSum({ window, line }: UsageSum): void {
        const isLate = window < this.openFrom;
        const state = this.findOrOpenWindow(isLate ? this.openFrom as WindowStart : window);
        addLine(state.lines, line);
        if (isLate) addAdjustment(state.adjustments, { of: window, line });
    }

    private freeze(window: WindowStart, windowMs: number, context: ApplyContext): void {
        const reportId = `usage-${window}-${windowMs}` as ReportId;
        this.closed.set(reportId, { ...this.describeOpen(window), windowMs, reportId, closedAt: context.proposedAt });
        this.open.delete(window);
    }

    private trimReported(): void {
        const reported = [...this.closed.values()].filter(closed => closed.reportedAt !== undefined);
        for (const closed of reported.slice(0, -MAX_DETAILED_REPORTED_COUNT)) {
            if (closed.lines.length > 0) this.closed.set(closed.reportId, { ...closed, lines: [], adjustments: [] });
        }
        for (const closed of reported.slice(0, -MAX_LISTED_REPORTED_COUNT)) this.closed.delete(closed.reportId);
    }

    private describeOpen(window: WindowStart): OpenWindow {
        const { lines, adjustments } = this.findOrOpenWindow(window);
        return { window, lines: [...lines.values()], adjustments: [...adjustments.values()] };
    }

    private findOrOpenWindow(window: WindowStart): WindowState {
        const state = this.open.get(window) ?? { lines: new Map(), adjustments: new Map() };
        this.open.set(window, state);
        return state;
    }
}

function addLine(lines: Map<string, UsageLine>, line: UsageLine): void {
    const key = lineKey(line);
    const sum = lines.get(key);
    lines.set(key, sum ? addUsage(sum, line) : line);
}

function addAdjustment(adjustments: Map<string, Adjustment>, added: Adjustment): void {
    const key = adjustmentKey(added);
    const sum = adjustments.get(key);
    adjustments.set(key, sum ? { of: sum.of, line: addUsage(sum.line, added.line) } : added);
}

function addUsage(a: UsageLine, b: UsageLine): UsageLine {
    return {
        ...a,
        requests: a.requests + b.requests,
        prompt_tokens: a.prompt_tokens + b.prompt_tokens,
        completion_tokens: a.completion_tokens + b.completion_tokens,
    };
}

function lineKey(line: UsageLine): string {
    return `${line.workspace}\n${line.pool}\n${line.class}`;
}

function adjustmentKey({ of, line }: Adjustment): string {
    return `${of}\n${lineKey(line)}`;
}
