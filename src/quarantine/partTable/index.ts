import type { ApplyContext } from "../../consensus/index.js";
import type { HostId, PartId, Revision, UpstreamId } from "../../ids/index.js";

/** Number of crashes that a part must explain to be quarantined. */
const CRASHES_TO_QUARANTINE = 3;
/** Crashes within this time of each other may have one cause outside the prompts, and count once, in milliseconds. */
const MIN_CRASH_INTERVAL_MS = 500;
/** A part is quarantined only if at least this share of the requests with it that began, or crashed, have crashed. */
const MIN_CRASH_RATIO = 0.5;
/** Time for which a crash counts, in milliseconds. */
const CRASH_RETENTION_MS = 3_600_000;
/** Duration of a part's first quarantine, in milliseconds, and the factor by which each further one is longer. */
const FIRST_QUARANTINE_MS = 3_600_000;
const QUARANTINE_GROWTH_FACTOR = 4;
const MAX_QUARANTINE_MS = 7 * 24 * 3_600_000;
/** Time that the one request that tries a part again has for its answer to begin, in milliseconds. */
const TRIAL_MS = 15_000;
/** Bounds of the table, since any caller can fill it with new parts. */
const MAX_CRASHES = 64;
const MAX_CALLS_PER_CRASH = 64;
const MAX_IDS_PER_CRASH = 2_048;
const MAX_ID_LENGTH = 256;
const MAX_QUARANTINED = 512;

/** Unexpected end of one incarnation of an upstream, with the prompts on which it had not begun to answer. */
export interface PartCrash {
    readonly upstream: UpstreamId;
    readonly incarnation: number;
    /** Wall-clock time at which a host learned of it, in milliseconds since the epoch. */
    readonly at: number;
    /** For each call, the parts of its prompt but the last, in their order. */
    readonly calls: readonly (readonly PartId[])[];
}

/** Records crashes. One that is recorded twice counts once. */
export interface RecordPartCrashesCommand {
    readonly kind: "parts.crashed";
    readonly crashes: readonly PartCrash[];
}

/** Answers that began on prompts with a part. */
export interface PartAnswers {
    readonly part: PartId;
    readonly count: number;
}

/** Records that answers began on prompts with suspected parts. */
export interface RecordPartAnswersCommand {
    readonly kind: "parts.answered";
    readonly parts: readonly PartAnswers[];
}

/** Asks for the permission to send one request with a part whose quarantine is over. */
export interface TryPartCommand {
    readonly kind: "parts.try";
    readonly part: PartId;
    readonly host: HostId;
}

/** Lets requests with a quarantined part run again, and forgets its crashes. */
export interface LiftPartCommand {
    readonly kind: "parts.lift";
    readonly part: PartId;
}

/** Commands that change the table. */
export type PartCommand = RecordPartCrashesCommand | RecordPartAnswersCommand | TryPartCommand | LiftPartCommand;

/** A part of prompts that are not sent to upstreams. */
export interface QuarantinedPart {
    readonly part: PartId;
    /** Wall-clock time from which one request at a time may try it again, in milliseconds since the epoch. */
    readonly until: number;
    /** Number of consecutive quarantines, including this one. */
    readonly rounds: number;
    /** The upstream incarnations that it crashed last, as `upstream/incarnation`. */
    readonly crashed: readonly string[];
}

/** What entries need to know of the table. */
export interface PartView {
    /** Parts on which answers that begin must be reported. */
    readonly suspects: readonly PartId[];
    readonly quarantined: readonly QuarantinedPart[];
}

/** Result of a command. */
export interface PartResult {
    readonly state: "changed" | "unchanged";
    /** Revision from which on the current view is valid. */
    readonly revision: Revision;
    /** Whether the host may send one request with the part that it asked for. */
    readonly mayTry: boolean;
}

interface RecordedCrash {
    /** `upstream/incarnation`. */
    readonly run: string;
    /** Wall-clock time, in milliseconds since the epoch. */
    readonly at: number;
    readonly calls: readonly (readonly PartId[])[];
}

/** For each part, the share of the requests with it that crashed, of those that crashed or were answered. */
type CrashRatios = ReadonlyMap<PartId, number>;

/** State of the table in a snapshot of the log. */
export interface PartTableSnapshot {
    readonly revision: Revision;
    readonly crashes: readonly RecordedCrash[];
    readonly answered: readonly PartAnswers[];
    readonly quarantined: readonly QuarantinedPart[];
    readonly trials: readonly (readonly [PartId, number])[];
}

/**
 * Replicated table of the parts of prompts that crash upstreams, maintained by commands of the control log.
 *
 * Prevents prompts that share one such part, and are otherwise different, from crashing one upstream after the other. Which part it is follows
 * from the crashes, each with the prompts on which the upstream had not begun to answer, and from the answers that began on other prompts: of
 * each such prompt, the part that crashes most often is blamed, and of several the last one, which is the least shared.
 *
 * @example
 * table.apply({ kind: "parts.crashed", crashes }, context);
 * table.view().quarantined;
 */
export class PartTable {
    /** By run, the oldest first. */
    private readonly crashes = new Map<string, RecordedCrash>();
    /** Number of answers that began on prompts with each part in the recorded crashes. */
    private readonly answered = new Map<PartId, number>();
    private readonly quarantinedParts = new Map<PartId, QuarantinedPart>();
    /** Wall-clock time until which one request tries a part, in milliseconds since the epoch. */
    private readonly trials = new Map<PartId, number>();
    private latestRevision = 0 as Revision;

    /** Revision of the last change of the view; 0 before the first. */
    get revision(): Revision {
        return this.latestRevision;
    }

    /** Whether nothing was ever recorded. */
    get isEmpty(): boolean {
        return this.latestRevision === 0 && this.crashes.size === 0;
    }

    /** Returns the quarantined parts, the one quarantined longest ago first. */
    list(): readonly QuarantinedPart[] {
        return [...this.quarantinedParts.values()];
    }

    find(part: PartId): QuarantinedPart | undefined {
        return this.quarantinedParts.get(part);
    }

    view(): PartView {
        const suspects = new Set([...this.crashes.values()].flatMap(({ calls }) => calls.flat()));
        return { suspects: [...suspects], quarantined: this.list() };
    }

    apply(command: PartCommand, context: ApplyContext): PartResult {
        const before = JSON.stringify(this.view());
        this.expire(context.proposedAt);
        const mayTry = this.applyCommand(command, context.proposedAt);
        const isChanged = before !== JSON.stringify(this.view());
        if (isChanged) this.latestRevision = context.index as number as Revision;
        return { state: isChanged ? "changed" : "unchanged", revision: this.latestRevision, mayTry };
    }

    snapshot(): PartTableSnapshot {
        return {
            revision: this.latestRevision,
            crashes: [...this.crashes.values()],
            answered: [...this.answered].map(([part, count]) => ({ part, count })),
            quarantined: this.list(),
            trials: [...this.trials],
        };
    }

    /** @param snapshot - Undefined in snapshots that are older than the quarantine of parts. */
    restore(snapshot: PartTableSnapshot | undefined): void {
        this.crashes.clear();
        this.answered.clear();
        this.quarantinedParts.clear();
        this.trials.clear();
        this.latestRevision = snapshot?.revision ?? 0 as Revision;
        for (const crash of snapshot?.crashes ?? []) this.crashes.set(crash.run, crash);
        for (const { part, count } of snapshot?.answered ?? []) this.answered.set(part, count);
        for (const each of snapshot?.quarantined ?? []) this.quarantinedParts.set(each.part, each);
        for (const [part, until] of snapshot?.trials ?? []) this.trials.set(part, until);
    }

    /** @returns Whether the host may send one request with the part that it asked for. */
    private applyCommand(command: PartCommand, now: number): boolean {
        switch (command.kind) {
            case "parts.crashed":
                for (const crash of command.crashes) this.recordCrash(crash, now);
                this.quarantineGuilty(now);
                return false;
            case "parts.answered":
                for (const { part, count } of command.parts) this.recordAnswers(part, count);
                return false;
            case "parts.try":
                return this.startTrial(command.part, now);
            case "parts.lift":
                this.release(command.part);
                return false;
        }
    }

    /** Several hosts report a crash, each with its own calls. */
    private recordCrash({ upstream, incarnation, at, calls }: PartCrash, now: number): void {
        const run = `${upstream}/${incarnation}`;
        const known = this.crashes.get(run);
        const all = limitCalls([...known?.calls ?? [], ...calls]);
        if (all.length === 0) return;
        // A request that was already on its way explains the crash, and prompts beside it are not to blame.
        const guilty = all.flat().find(part => this.quarantinedParts.has(part));
        if (guilty !== undefined) return this.extendQuarantine(guilty, run, now);
        this.crashes.set(run, { run, at: known?.at ?? Math.min(at, now), calls: all });
        if (this.crashes.size > MAX_CRASHES) this.crashes.delete(this.crashes.keys().next().value!);
        this.dropUnsuspected();
    }

    /** Begins the next, longer quarantine of a part that has crashed another upstream since the last one was over. */
    private extendQuarantine(part: PartId, run: string, now: number): void {
        this.crashes.delete(run);
        const { until, rounds, crashed } = this.quarantinedParts.get(part)!;
        if (crashed.includes(run)) return;
        const isOver = until <= now;
        const runs = [...crashed.slice(1 - CRASHES_TO_QUARANTINE), run];
        this.quarantine(part, runs, isOver ? rounds + 1 : rounds, isOver ? now : until - quarantineMs(rounds));
    }

    private recordAnswers(part: PartId, count: number): void {
        if (this.trials.has(part)) return this.release(part);
        if (this.isSuspected(part)) this.answered.set(part, (this.answered.get(part) ?? 0) + count);
    }

    private startTrial(part: PartId, now: number): boolean {
        const quarantined = this.quarantinedParts.get(part);
        if (!quarantined || quarantined.until > now || this.trials.has(part)) return false;
        this.trials.set(part, now + TRIAL_MS);
        return true;
    }

    /** Quarantines each part that is to blame for enough crashes. */
    private quarantineGuilty(now: number): void {
        for (;;) {
            const ratios = this.findCrashRatios();
            const guilty = [...this.listBlamed(ratios)].find(([part, crashes]) =>
                ratios.get(part)! >= MIN_CRASH_RATIO && countMoments(crashes) >= CRASHES_TO_QUARANTINE
            );
            if (!guilty) return;
            const [part, crashes] = guilty;
            this.quarantine(part, crashes.map(({ run }) => run), 1, now);
            this.dropExplained(part);
        }
    }

    /** Returns the crashes for which each part is to blame. */
    private listBlamed(ratios: CrashRatios): Map<PartId, RecordedCrash[]> {
        const blamed = new Map<PartId, RecordedCrash[]>();
        for (const crash of this.crashes.values()) {
            for (const part of new Set(crash.calls.map(call => findMostSuspect(call, ratios)))) {
                const known = blamed.get(part);
                if (known) known.push(crash);
                else blamed.set(part, [crash]);
            }
        }
        return blamed;
    }

    private findCrashRatios(): CrashRatios {
        const counts = new Map<PartId, number>();
        for (const { calls } of this.crashes.values()) {
            for (const part of new Set(calls.flat())) counts.set(part, (counts.get(part) ?? 0) + 1);
        }
        return new Map([...counts].map(([part, count]) => [part, count / (count + (this.answered.get(part) ?? 0))]));
    }

    private quarantine(part: PartId, crashed: readonly string[], rounds: number, from: number): void {
        this.quarantinedParts.delete(part);
        this.trials.delete(part);
        this.quarantinedParts.set(part, { part, crashed, rounds, until: from + quarantineMs(rounds) });
        if (this.quarantinedParts.size <= MAX_QUARANTINED) return;
        const [oldest] = this.quarantinedParts.keys();
        this.quarantinedParts.delete(oldest);
        this.trials.delete(oldest);
    }

    private release(part: PartId): void {
        this.quarantinedParts.delete(part);
        this.trials.delete(part);
        this.dropExplained(part);
    }

    /** Forgets the crashes of prompts with a part: those beside it are not to blame. */
    private dropExplained(part: PartId): void {
        for (const [run, { calls }] of this.crashes) {
            if (calls.some(call => call.includes(part))) this.crashes.delete(run);
        }
        this.dropUnsuspected();
    }

    private dropUnsuspected(): void {
        const suspects = new Set([...this.crashes.values()].flatMap(({ calls }) => calls.flat()));
        for (const part of this.answered.keys()) {
            if (!suspects.has(part)) this.answered.delete(part);
        }
    }

    private isSuspected(part: PartId): boolean {
        return [...this.crashes.values()].some(({ calls }) => calls.some(call => call.includes(part)));
    }

    private expire(now: number): void {
        for (const [run, { at }] of this.crashes) {
            if (at + CRASH_RETENTION_MS <= now) this.crashes.delete(run);
        }
        for (const [part, until] of this.trials) {
            if (until <= now) this.trials.delete(part);
        }
        this.dropUnsuspected();
    }
}

/** Returns those of a crash's calls, the first ones, that the table has room for. Ids of callers that are too long are left out. */
export function limitCalls(calls: readonly (readonly PartId[])[]): readonly (readonly PartId[])[] {
    const limited: (readonly PartId[])[] = [];
    let ids = 0;
    for (const call of calls) {
        const parts = call.filter(({ length }) => length > 0 && length <= MAX_ID_LENGTH);
        ids += parts.length;
        if (ids > MAX_IDS_PER_CRASH || limited.length === MAX_CALLS_PER_CRASH) return limited;
        if (parts.length > 0) limited.push(parts);
    }
    return limited;
}

/** Returns the part of a prompt that crashes most often; of several, the last one, which is the least shared. */
function findMostSuspect(call: readonly PartId[], ratios: CrashRatios): PartId {
    const ratiosOfCall = call.map(part => ratios.get(part)!);
    return call[ratiosOfCall.lastIndexOf(Math.max(...ratiosOfCall))];
}

/** Counts crashes, those at about the same moment once. */
function countMoments(crashes: readonly RecordedCrash[]): number {
    const times = crashes.map(({ at }) => at).sort((a, b) => a - b);
    let [count, lastAt] = [0, Number.NEGATIVE_INFINITY];
    for (const at of times) {
        if (at - lastAt < MIN_CRASH_INTERVAL_MS) continue;
        count++;
        lastAt = at;
    }
    return count;
}

function quarantineMs(rounds: number): number {
    return Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * QUARANTINE_GROWTH_FACTOR ** (rounds - 1));
}
