import type { ApplyContext } from "../../consensus/index.js";
import type { IdempotencyKey, RequestId, WorkspaceId } from "../../ids/index.js";
import type {
    AbandonCallsCommand,
    BeginCallCommand,
    BeginCallResult,
    CallAnswer,
    FinishCallCommand,
} from "../callCommands/index.js";

/** How long a finished call's record is kept, in milliseconds: a resend within it meets the record. */
export const CALL_RETENTION_MS = 24 * 3_600_000;
/** How many bytes of answers are kept; beyond it the oldest answers go, and their records say "unknown". */
export const ANSWER_BYTES_KEPT = 32 * 1024 * 1024;

/** Where a call stands. `not-run`: no byte of it left; it may be begun again, by another request. */
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
    /** When it was begun or finished, in milliseconds since the epoch. */
    readonly at: number;
}

/** One run of an entry. */
export interface EntryRun {
    readonly host: string;
    readonly incarnation: string;
}

/** What a finish or an abandonment did. */
export interface LedgerChange {
    readonly changed: number;
}

/**
 * The records of non-repeatable calls.
 *
 * Guards against a call that runs twice: the caller lost its answer and resends, perhaps through another host. The record is
 * committed before the call leaves, so the second request finds it, and only the request that opened it may send.
 *
 * @example
 * const result = ledger.begin(command, context);
 */
export class CallLedger {
    private readonly running = new Map<string, CallRecord>();
    /** In the order of their end. */
    private readonly finished = new Map<string, CallRecord>();
    /** Names of the finished records that still have their answer, in the order of their end. */
    private readonly withAnswer = new Set<string>();
    private answerBytes = 0;

    begin(command: BeginCallCommand, context: ApplyContext): BeginCallResult {
        this.expire(context.proposedAt);
        const name = nameRecord(command);
        const record = this.running.get(name) ?? this.finished.get(name);
        if (!record) return this.open(command, context);
        if (record.digest !== command.digest) return { state: "mismatch" };
        if (record.state === "running") return this.joinRunning(record, command);
        if (record.state === "answered") return { state: "answered", answer: record.answer! };
        // A begin that was held up in the network and comes after its own request's end must not open the record again:
        // nobody would ever close it.
        if (record.state === "not-run" && record.request !== command.request) return this.open(command, context);
        return { state: "unknown" };
    }

    /** Closes a record. Only the request that opened it may, and an answer that stands is never replaced. */
    finish(command: FinishCallCommand, context: ApplyContext): LedgerChange {
        const name = nameRecord(command);
        const record = this.running.get(name) ?? this.finished.get(name);
        if (!record || record.request !== command.request) return { changed: 0 };
        if (record.state === "answered" || record.state === "not-run") return { changed: 0 };
        const answer = command.outcome === "answered" ? command.answer : undefined;
        this.close(name, { ...record, answer, state: command.outcome, at: context.proposedAt });
        this.expire(context.proposedAt);
        return { changed: 1 };
    }

    /** Calls of an entry that has ended may have run: nobody can say any more. */
    abandon(command: AbandonCallsCommand, context: ApplyContext): LedgerChange {
        const lost = [...this.running].filter(([, record]) => isSameRun(record, command));
        for (const [name, record] of lost) this.close(name, { ...record, state: "unknown", at: context.proposedAt });
        return { changed: lost.length };
    }

    /** The runs of entries that have calls open. */
    listOpenRuns(): readonly EntryRun[] {
        const runs = new Map<string, EntryRun>();
        for (const { host, incarnation } of this.running.values()) {
            runs.set(`${host} ${incarnation}`, { host, incarnation });
        }
        return [...runs.values()];
    }

    get size(): number {
        return this.running.size + this.finished.size;
    }

    snapshot(): readonly CallRecord[] {
        return [...this.finished.values(), ...this.running.values()];
    }

    restore(records: readonly CallRecord[]): void {
        this.running.clear();
        this.finished.clear();
        this.withAnswer.clear();
        this.answerBytes = 0;
        for (const record of records) {
            if (record.state === "running") this.running.set(nameRecord(record), record);
            else this.keepFinished(nameRecord(record), record);
        }
    }

    private open(command: BeginCallCommand, context: ApplyContext): BeginCallResult {
        const name = nameRecord(command);
        const { workspace, key, digest, request, host, incarnation } = command;
        this.dropFinished(name);
        const at = context.proposedAt;
        this.running.set(name, { workspace, key, digest, request, host, incarnation, state: "running", at });
        return { state: "opened" };
    }

    private joinRunning(record: CallRecord, command: BeginCallCommand): BeginCallResult {
        const { request, host, incarnation } = record;
        // The same request asks again after a lost answer: it has not sent the call yet.
        if (request === command.request && isSameRun(record, command)) return { state: "opened" };
        return { state: "running", request, host, incarnation };
    }

    private close(name: string, record: CallRecord): void {
        this.running.delete(name);
        this.dropFinished(name);
        this.keepFinished(name, record);
    }

    private keepFinished(name: string, record: CallRecord): void {
        this.finished.set(name, record);
        if (!record.answer) return;
        this.withAnswer.add(name);
        this.answerBytes += record.answer.body.length;
    }

    private dropFinished(name: string): void {
        this.answerBytes -= this.finished.get(name)?.answer?.body.length ?? 0;
        this.finished.delete(name);
        this.withAnswer.delete(name);
    }

    private expire(now: number): void {
        for (const [name, record] of this.finished) {
            if (now - record.at <= CALL_RETENTION_MS) break;
            this.dropFinished(name);
        }
        for (const name of this.withAnswer) {
            if (this.answerBytes <= ANSWER_BYTES_KEPT) return;
            this.forgetAnswer(name);
        }
    }

    /** The call stays known, so that it never runs again. */
    private forgetAnswer(name: string): void {
        const record = this.finished.get(name)!;
        this.answerBytes -= record.answer!.body.length;
        this.withAnswer.delete(name);
        this.finished.set(name, { ...record, answer: undefined, state: "unknown" });
    }
}

function nameRecord({ workspace, key }: { workspace: WorkspaceId; key: IdempotencyKey; }): string {
    return `${workspace}\n${key}`;
}

function isSameRun(a: EntryRun, b: EntryRun): boolean {
    return a.host === b.host && a.incarnation === b.incarnation;
}
