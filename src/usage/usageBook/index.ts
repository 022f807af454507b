import type { ApplyContext } from "../../consensus/index.js";
import type { ReportId, WindowStart } from "../../ids/index.js";
import type { UsageLine } from "../../protocol/index.js";
import { SequenceRange, SequenceSet } from "../sequenceSet/index.js";
import type { UsageBatchCommand, UsageSum } from "../usageCommands/index.js";

/** How many reported windows keep their lines for operators to read. */
const REPORTED_KEPT = 8;
/** How many reported windows are listed, with totals alone. */
const REPORTED_LISTED = 500;
/** A run of an entry that has sent nothing for this long is forgotten, in milliseconds. */
const RUN_RETENTION_MS = 7 * 24 * 3_600_000;

/** Closes a window: its figures never change after this entry. */
export interface CloseWindowCommand {
    readonly kind: "usage.close";
    readonly window: WindowStart;
    /** The window's length, in milliseconds. */
    readonly windowMs: number;
}

/** The platform has accepted a window's report. */
export interface ReportedCommand {
    readonly kind: "usage.reported";
    readonly reportId: ReportId;
}

/** Late usage that was counted in a later window. */
export interface Adjustment {
    /** The closed window in which it was used. */
    readonly of: WindowStart;
    readonly line: UsageLine;
}

/** A window that still takes usage. */
export interface OpenWindow {
    readonly window: WindowStart;
    readonly lines: readonly UsageLine[];
    readonly adjustments: readonly Adjustment[];
}

/** A closed window. `lines` has the adjustments counted in. */
export interface ClosedWindow extends OpenWindow {
    readonly windowMs: number;
    readonly reportId: ReportId;
    readonly closedAt: number;
    readonly reportedAt?: number;
}

/** Whether a batch counted. */
export interface BatchResult {
    readonly counted: boolean;
}

interface UsageRun {
    readonly host: string;
    readonly incarnation: string;
    readonly seen: readonly SequenceRange[];
    readonly at: number;
}

export interface UsageSnapshot {
    /** Usage of windows that start before this is late. */
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
 * What was used in each window.
 *
 * Guards against usage billed twice or twice differently: a batch sent again after a lost answer, or through a new holder, is known
 * by its (host, incarnation, sequence) and dropped; and a closed window's figures are kept as they were, so that
 * whoever reports it says the same.
 *
 * @example
 * book.count(batch, context);
 */
export class UsageBook {
    private readonly open = new Map<WindowStart, WindowState>();
    private readonly closed = new Map<ReportId, ClosedWindow>();
    private readonly runs = new Map<string, RunState>();
    private openFrom = 0;

    /** Adds a batch's sums, once. */
    count(batch: UsageBatchCommand, context: ApplyContext): BatchResult {
        if (!this.noteBatch(batch, context)) return { counted: false };
        for (const sum of batch.sums) this.addSum(sum);
        return { counted: true };
    }

    /** Freezes a window's figures. Closing it again changes nothing. */
    close({ window, windowMs }: CloseWindowCommand, context: ApplyContext): void {
        if (window < this.openFrom) return;
        const earlier = [...this.open.keys()].filter(start => start <= window).sort((a, b) => a - b);
        for (const start of earlier) this.freeze(start, windowMs, context);
        this.openFrom = window + windowMs;
    }

    /** Notes that the platform has a report. */
    markReported({ reportId }: ReportedCommand, context: ApplyContext): void {
        const closed = this.closed.get(reportId);
        if (!closed || closed.reportedAt !== undefined) return;
        this.closed.delete(reportId);
        this.closed.set(reportId, { ...closed, reportedAt: context.proposedAt });
        this.trimReported();
    }

    /** The starts of windows that take usage, the oldest first. */
    listOpenStarts(): readonly WindowStart[] {
        return [...this.open.keys()].sort((a, b) => a - b);
    }

    /** Windows that take usage, the oldest first. */
    listOpen(): readonly OpenWindow[] {
        return this.listOpenStarts().map(window => this.viewOpen(window));
    }

    /** Closed windows, reported or not, the oldest first. */
    listClosed(): readonly ClosedWindow[] {
        return [...this.closed.values()].sort((a, b) => a.window - b.window);
    }

    /** Closed windows that the platform has not confirmed, the oldest first. */
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
            const state = this.stateOf(window);
            for (const line of lines) state.lines.set(nameLine(line), line);
            for (const each of adjustments) state.adjustments.set(nameAdjustment(each), each);
        }
        for (const closed of snapshot.closed) this.closed.set(closed.reportId, closed);
        for (const { host, incarnation, seen, at } of snapshot.runs) {
            this.runs.set(`${host} ${incarnation}`, { host, incarnation, seen: new SequenceSet(seen), at });
        }
    }

    private noteBatch({ host, incarnation, sequence }: UsageBatchCommand, context: ApplyContext): boolean {
        const name = `${host} ${incarnation}`;
        const run = this.runs.get(name) ?? { host, incarnation, seen: new SequenceSet(), at: 0 };
        // Set again, so that the map stays in the order of last use.
        this.runs.delete(name);
        run.at = context.proposedAt;
        this.runs.set(name, run);
        for (const [oldest, { at }] of this.runs) {
            if (context.proposedAt - at <= RUN_RETENTION_MS) break;
            this.runs.delete(oldest);
        }
        return run.seen.add(sequence);
    }

    /** Adds one sum that is known not to have been counted. */
    addSum({ window, line }: UsageSum): void {
        const late = window < this.openFrom;
        const state = this.stateOf(late ? this.openFrom as WindowStart : window);
        addLine(state.lines, line);
        if (late) addAdjustment(state.adjustments, { of: window, line });
    }

    private freeze(window: WindowStart, windowMs: number, context: ApplyContext): void {
        const reportId = `usage-${window}-${windowMs}` as ReportId;
        this.closed.set(reportId, { ...this.viewOpen(window), windowMs, reportId, closedAt: context.proposedAt });
        this.open.delete(window);
    }

    private trimReported(): void {
        const reported = [...this.closed.values()].filter(closed => closed.reportedAt !== undefined);
        for (const old of reported.slice(0, -REPORTED_KEPT)) {
            if (old.lines.length > 0) this.closed.set(old.reportId, { ...old, lines: [], adjustments: [] });
        }
        for (const old of reported.slice(0, -REPORTED_LISTED)) this.closed.delete(old.reportId);
    }

    private viewOpen(window: WindowStart): OpenWindow {
        const { lines, adjustments } = this.stateOf(window);
        return { window, lines: [...lines.values()], adjustments: [...adjustments.values()] };
    }

    private stateOf(window: WindowStart): WindowState {
        const state = this.open.get(window) ?? { lines: new Map(), adjustments: new Map() };
        this.open.set(window, state);
        return state;
    }
}

function addLine(lines: Map<string, UsageLine>, line: UsageLine): void {
    const name = nameLine(line);
    const sum = lines.get(name);
    lines.set(name, sum ? addUsage(sum, line) : line);
}

function addAdjustment(adjustments: Map<string, Adjustment>, added: Adjustment): void {
    const name = nameAdjustment(added);
    const sum = adjustments.get(name);
    adjustments.set(name, sum ? { of: sum.of, line: addUsage(sum.line, added.line) } : added);
}

function addUsage(a: UsageLine, b: UsageLine): UsageLine {
    return {
        ...a,
        requests: a.requests + b.requests,
        prompt_tokens: a.prompt_tokens + b.prompt_tokens,
        completion_tokens: a.completion_tokens + b.completion_tokens,
    };
}

function nameLine(line: UsageLine): string {
    return `${line.workspace}\n${line.pool}\n${line.class}`;
}

function nameAdjustment({ of, line }: Adjustment): string {
    return `${of}\n${nameLine(line)}`;
}
