import type { ApplyContext } from "../../consensus/index.js";
import type { IdempotencyKey, RequestId, WorkspaceId } from "../../ids/index.js";
import type {
    AbandonCallsCommand,
    BeginCallCommand,
    BeginCallResult,
    CallAnswer,
    FinishCallCommand,
} from "../callCommands/index.js";

/** Retention of a finished call's record: a resend within this time finds it. */
export const CALL_RETENTION_MS = 24 * 3_600_000;
/** Total size of the answers kept; beyond it the oldest answers are dropped, and their records become `unknown`. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** State of a call. `not-run`: no byte of it was sent; another request may open its record again. */
type CallState = "running" | "answered" | "unknown" | "not-run";

/** One non-repeatable call. */
export interface CallRecord {
    readonly workspace: WorkspaceId;
    readonly key: IdempotencyKey;
    readonly digest: string;
    /** The one request that may send the call. */
    readonly request: RequestId;
    readonly host: string;
    readonly incarnation: string;
    readonly state: CallState;
    readonly answer?: CallAnswer;
    /** Time at which it was opened or closed, in milliseconds since the epoch. */
    readonly at: number;
}

/** One run of an entry process. */
export interface EntryRun {
    readonly host: string;
    readonly incarnation: string;
}

/** Result of finishing or abandoning calls. */
export interface CloseCallsResult {
    /** Number of records closed. */
    readonly changed: number;
}

/**
 * Records of non-repeatable calls by workspace and idempotency key, as state of the control log.
 *
 * Prevents a call from running twice when its caller has lost the answer and resends it, perhaps through another host: the record is
 * committed before the call is sent, so the second request finds it, and only the request that opened it may send the call.
 *
 * @example
 * const result = ledger.begin(command, context);
 */
export class CallLedger {
    private readonly running = new Map<string, CallRecord>();
    /** In the order in which they finished. */
    private readonly finished = new Map<string, CallRecord>();
    /** Keys of the finished records that still have their answer, in the order in which they finished. */
    private readonly keysWithAnswer = new Set<string>();
    private answerBytes = 0;

    /** Opens a record, or returns the state of the existing one. */
    begin(command: BeginCallCommand, context: ApplyContext): BeginCallResult {
        this.expire(context.proposedAt);
        const recordKey = makeRecordKey(command);
        const existing = this.running.get(recordKey) ?? this.finished.get(recordKey);
        if (!existing) return this.open(command, context);
        if (existing.digest !== command.digest) return { state: "mismatch" };
        if (existing.state === "running") return this.joinRunning(existing, command);
        if (existing.state === "answered") return { state: "answered", answer: existing.answer! };
        // A delayed copy of a begin that arrives after its own request has finished must not open the record again: nothing
        // would ever close it.
        if (existing.state === "not-run" && existing.request !== command.request) return this.open(command, context);
        return { state: "unknown" };
    }

    /** Closes a record. Only the request that opened it may do so, and a recorded answer is never replaced. */
    finish(command: FinishCallCommand, context: ApplyContext): CloseCallsResult {
        const recordKey = makeRecordKey(command);
        const existing = this.running.get(recordKey) ?? this.finished.get(recordKey);
        if (!existing || existing.request !== command.request) return { changed: 0 };
        if (existing.state === "answered" || existing.state === "not-run") return { changed: 0 };
        const answer = command.outcome === "answered" ? command.answer : undefined;
        this.close(recordKey, { ...existing, answer, state: command.outcome, at: context.proposedAt });
        this.expire(context.proposedAt);
        return { changed: 1 };
    }

    /** Closes the open records of a run that has ended as `unknown`: its calls may or may not have run. */
    abandon(command: AbandonCallsCommand, context: ApplyContext): CloseCallsResult {
        const lost = [...this.running].filter(([, record]) => isSameRun(record, command));
        for (const [key, record] of lost) this.close(key, { ...record, state: "unknown", at: context.proposedAt });
        return { changed: lost.length };
    }

    /** Lists the runs of entries that have open records. */
    listOpenRuns(): readonly EntryRun[] {
        const runs = new Map<string, EntryRun>();
        for (const { host, incarnation } of this.running.values()) {
            runs.set(`${host} ${incarnation}`, { host, incarnation });
        }
        return [...runs.values()];
    }

    /** Number of records, open and finished. */
    get size(): number {
        return this.running.size + this.finished.size;
    }

    snapshot(): readonly CallRecord[] {
        return [...this.finished.values(), ...this.running.values()];
    }

    restore(records: readonly CallRecord[]): void {
        this.running.clear();
        this.finished.clear();
        this.keysWithAnswer.clear();
        this.answerBytes = 0;
        for (const record of records) {
            if (record.state === "running") this.running.set(makeRecordKey(record), record);
            else this.storeFinished(makeRecordKey(record), record);
        }
    }

    private open(command: BeginCallCommand, context: ApplyContext): BeginCallResult {
        const recordKey = makeRecordKey(command);
        const { workspace, key, digest, request, host, incarnation } = command;
        this.dropFinished(recordKey);
        const at = context.proposedAt;
        this.running.set(recordKey, { workspace, key, digest, request, host, incarnation, state: "running", at });
        return { state: "opened" };
    }

    private joinRunning(record: CallRecord, command: BeginCallCommand): BeginCallResult {
        const { request, host, incarnation } = record;
        // The same request retries its begin after the result was lost: it has not sent the call yet.
        if (request === command.request && isSameRun(record, command)) return { state: "opened" };
        return { state: "running", request, host, incarnation };
    }

    private close(recordKey: string, record: CallRecord): void {
        this.running.delete(recordKey);
        this.dropFinished(recordKey);
        this.storeFinished(recordKey, record);
    }

    private storeFinished(recordKey: string, record: CallRecord): void {
        this.finished.set(recordKey, record);
        if (!record.answer) return;
        this.keysWithAnswer.add(recordKey);
        this.answerBytes += record.answer.body.length;
    }

    private dropFinished(recordKey: string): void {
        this.answerBytes -= this.finished.get(recordKey)?.answer?.body.length ?? 0;
        this.finished.delete(recordKey);
        this.keysWithAnswer.delete(recordKey);
    }

    private expire(now: number): void {
        for (const [recordKey, record] of this.finished) {
            if (now - record.at <= CALL_RETENTION_MS) break;
            this.dropFinished(recordKey);
        }
        for (const recordKey of this.keysWithAnswer) {
            if (this.answerBytes <= MAX_ANSWER_BYTES) return;
            this.dropAnswer(recordKey);
        }
    }

    /** Drops a record's answer to save memory. The record stays, so that the call never runs again. */
    private dropAnswer(recordKey: string): void {
        const record = this.finished.get(recordKey)!;
        this.answerBytes -= record.answer!.body.length;
        this.keysWithAnswer.delete(recordKey);
        this.finished.set(recordKey, { ...record, answer: undefined, state: "unknown" });
    }
}

function makeRecordKey({ workspace, key }: { workspace: WorkspaceId; key: IdempotencyKey; }): string {
    return `${workspace}\n${key}`;
}

function isSameRun(a: EntryRun, b: EntryRun): boolean {
    return a.host === b.host && a.incarnation === b.incarnation;
}
