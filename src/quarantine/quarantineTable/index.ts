import type { ApplyContext } from "../../consensus/index.js";
import type { RequestFingerprint, Revision, UpstreamId } from "../../ids/index.js";

/** Number of upstreams that a request must crash to be quarantined. */
export const CRASHES_TO_QUARANTINE = 3;
/** Time for which a crash counts against a request, in milliseconds. */
const SUSPECT_RETENTION_MS = 3_600_000;
/** Duration of a request's first quarantine, in milliseconds. */
const FIRST_QUARANTINE_MS = 3_600_000;
/** Factor by which each further quarantine of a request is longer than the one before. */
const QUARANTINE_GROWTH_FACTOR = 4;
const MAX_QUARANTINE_MS = 7 * 24 * 3_600_000;
/**
 * Beyond these counts the oldest entries are forgotten: the table must not grow without bound, since any caller can
 * fill it.
 */
const MAX_SUSPECTS = 4_096;
const MAX_QUARANTINED = 512;

/** Unexpected end of one incarnation of an upstream, with the requests that it was running. */
export interface UpstreamCrash {
    readonly upstream: UpstreamId;
    readonly incarnation: number;
    readonly fingerprints: readonly RequestFingerprint[];
}

/** Records crashes against the requests that were running. A crash that is recorded twice counts once. */
export interface RecordCrashesCommand {
    readonly kind: "crash.note";
    readonly crashes: readonly UpstreamCrash[];
}

/** Lets a quarantined request run again and forgets its crashes. */
export interface LiftQuarantineCommand {
    readonly kind: "quarantine.lift";
    readonly fingerprint: RequestFingerprint;
}

/** Commands that change the table. */
export type QuarantineCommand = RecordCrashesCommand | LiftQuarantineCommand;

/** A request that is not sent to upstreams. */
export interface QuarantinedRequest {
    readonly fingerprint: RequestFingerprint;
    /** Wall-clock time at which the quarantine ends, in milliseconds since the epoch. */
    readonly until: number;
    /** Number of consecutive quarantines, including this one. */
    readonly rounds: number;
    /** The upstream incarnations that it crashed last, as `upstream/incarnation`. */
    readonly crashed: readonly string[];
}

/** Result of a command: the requests that it quarantined, and the revision from which on the current list is valid. */
export interface QuarantineResult {
    readonly state: "changed" | "unchanged";
    readonly quarantined: readonly QuarantinedRequest[];
    readonly revision: Revision;
}

/** A request that has crashed upstreams, but not enough of them to be quarantined. */
interface Suspect {
    readonly fingerprint: RequestFingerprint;
    readonly crashed: readonly string[];
    /** Wall-clock time until which its crashes count, in milliseconds since the epoch. */
    readonly until: number;
    /** Number of its previous quarantines. */
    readonly rounds: number;
}

/** State of the table in a snapshot of the log. */
export interface QuarantineSnapshot {
    readonly revision: Revision;
    readonly suspects: readonly Suspect[];
    readonly quarantined: readonly QuarantinedRequest[];
}

/**
 * Replicated table of the requests suspected of crashes and those quarantined, maintained by commands of the control
 * log.
 *
 * Prevents a request from crashing one upstream after the other: its retries come with new ids through any entry, so it
 * is identified by its content, for all entries and across restarts. After a quarantine one more crash leads to the
 * next one, which is longer.
 *
 * @example
 * const { quarantined } = table.apply({ kind: "crash.note", crashes }, context);
 */
export class QuarantineTable {
    /** Ordered by the time of the latest recorded crash, the oldest first. */
    private readonly suspects = new Map<RequestFingerprint, Suspect>();
    private readonly quarantinedRequests = new Map<RequestFingerprint, QuarantinedRequest>();
    private latestRevision = 0 as Revision;

    /** Revision of the last change of the quarantined requests; 0 before the first. */
    get revision(): Revision {
        return this.latestRevision;
    }

    /** Whether nothing was ever recorded. */
    get isEmpty(): boolean {
        return this.latestRevision === 0 && this.suspects.size === 0;
    }

    /** Returns the quarantined requests, the one quarantined longest ago first. */
    list(): readonly QuarantinedRequest[] {
        return [...this.quarantinedRequests.values()];
    }

    find(fingerprint: RequestFingerprint): QuarantinedRequest | undefined {
        return this.quarantinedRequests.get(fingerprint);
    }

    apply(command: QuarantineCommand, context: ApplyContext): QuarantineResult {
        const before = new Map(this.quarantinedRequests);
        this.expire(context.proposedAt);
        if (command.kind === "quarantine.lift") this.lift(command.fingerprint);
        else this.recordCrashes(command.crashes, context.proposedAt);
        const quarantined = this.list().filter(each => before.get(each.fingerprint) !== each);
        const isUnchanged = quarantined.length === 0 && before.size === this.quarantinedRequests.size;
        if (!isUnchanged) this.latestRevision = context.index as number as Revision;
        return { state: isUnchanged ? "unchanged" : "changed", quarantined, revision: this.latestRevision };
    }

    snapshot(): QuarantineSnapshot {
        return { revision: this.latestRevision, suspects: [...this.suspects.values()], quarantined: this.list() };
    }

    /** @param snapshot - Undefined in snapshots that are older than the quarantine feature. */
    restore(snapshot: QuarantineSnapshot | undefined): void {
        this.suspects.clear();
        this.quarantinedRequests.clear();
        this.latestRevision = snapshot?.revision ?? 0 as Revision;
        for (const each of snapshot?.suspects ?? []) this.suspects.set(each.fingerprint, each);
        for (const each of snapshot?.quarantined ?? []) this.quarantinedRequests.set(each.fingerprint, each);
    }

    private recordCrashes(crashes: readonly UpstreamCrash[], now: number): void {
        for (const { upstream, incarnation, fingerprints } of crashes) {
            for (const fingerprint of fingerprints) this.recordCrash(fingerprint, `${upstream}/${incarnation}`, now);
        }
    }

    private recordCrash(fingerprint: RequestFingerprint, run: string, now: number): void {
        if (this.quarantinedRequests.has(fingerprint)) return;
        const { crashed: known = [], rounds = 0, until = 0 } = this.suspects.get(fingerprint) ?? {};
        if (known.includes(run)) return;
        const crashed = [...known, run];
        this.suspects.delete(fingerprint);
        if (crashed.length >= CRASHES_TO_QUARANTINE) {
            this.quarantine(fingerprint, crashed, rounds + 1, now);
            return;
        }
        this.suspects.set(fingerprint, {
            fingerprint,
            crashed,
            rounds,
            until: Math.max(until, now + SUSPECT_RETENTION_MS),
        });
        dropOldest(this.suspects, MAX_SUSPECTS);
    }

    private quarantine(
        fingerprint: RequestFingerprint,
        crashed: readonly string[],
        rounds: number,
        now: number,
    ): void {
        this.quarantinedRequests.set(fingerprint, { fingerprint, crashed, rounds, until: now + quarantineMs(rounds) });
        dropOldest(this.quarantinedRequests, MAX_QUARANTINED);
    }

    private lift(fingerprint: RequestFingerprint): void {
        this.quarantinedRequests.delete(fingerprint);
        this.suspects.delete(fingerprint);
    }

    private expire(now: number): void {
        for (const { fingerprint, until } of [...this.suspects.values()]) {
            if (until <= now) this.suspects.delete(fingerprint);
        }
        for (const { fingerprint, until, rounds, crashed } of this.list()) {
            if (until > now) continue;
            this.quarantinedRequests.delete(fingerprint);
            const latestRuns = crashed.slice(1 - CRASHES_TO_QUARANTINE);
            this.suspects.set(fingerprint, {
                fingerprint,
                crashed: latestRuns,
                rounds,
                until: now + quarantineMs(rounds),
            });
        }
    }
}

function quarantineMs(rounds: number): number {
    return Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * QUARANTINE_GROWTH_FACTOR ** (rounds - 1));
}

function dropOldest(table: Map<RequestFingerprint, unknown>, maxSize: number): void {
    if (table.size > maxSize) table.delete(table.keys().next().value!);
}
