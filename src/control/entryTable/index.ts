import { Clock } from "../../ports/index.js";
import { EntryView, GoneEntry, ViewPull } from "../view/index.js";

/** How much faster than an entry's clock the holder's may run, as a share. */
export const LEASE_DRIFT = 0.02;

/** An entry and the revision that it has in force. */
export interface AcknowledgedEntry extends EntryView {
    readonly revision: number;
}

/** How many changes of the list are remembered; an entry further behind gets the whole list. */
const MOST_CHANGES = 2_000;

/** What has changed in the list of entries. */
export interface EntryChanges {
    readonly entries: readonly EntryView[];
    readonly gone: readonly GoneEntry[];
}

interface ListChange {
    readonly version: number;
    readonly run: GoneEntry;
}

interface Standing {
    readonly view: EntryView;
    /** The revision that the entry has in force. */
    readonly revision: number;
    /** On the monotonic clock: after this the entry takes no new work on its present view. */
    readonly leaseUntil: number;
}

/**
 * The entries as the holder knows them from their pulls: what each has in force, and until when each may work on it.
 *
 * Guards against a change called "in force" while an entry still works on the old view: an entry that the holder has never
 * heard of may have a lease from the holder before, so a new holder counts such entries as alive for one whole lease.
 *
 * @example
 * table.notePull(pull);
 * const done = table.isInForce(revision);
 */
export class EntryTable {
    private readonly standings = new Map<string, Standing>();
    private unknownUntil: number;
    private listVersion = 0;
    /** The last change of each entry, in the order of the changes. */
    private readonly changes = new Map<string, ListChange>();
    /** Changes after this version are remembered. */
    private changesFrom = 0;

    /**
     * @param leaseMs - How long an entry may work on one pull's answer, in milliseconds from when the pull left it.
     */
    constructor(private readonly clock: Clock, readonly leaseMs: number) {
        this.unknownUntil = this.leaseEnd();
    }

    /** Starts anew, with a new holder. */
    restart(): void {
        this.standings.clear();
        this.changes.clear();
        this.unknownUntil = this.leaseEnd();
        this.changesFrom = ++this.listVersion;
    }

    /** True once each live entry must have been heard in this term. */
    get isComplete(): boolean {
        return this.clock.monotonic() >= this.unknownUntil;
    }

    /** Grows whenever the list of entries changes. */
    get version(): number {
        return this.listVersion;
    }

    /** Notes what an entry says. Its lease is not longer for it until an answer goes out. */
    notePull(pull: ViewPull): void {
        const { host, incarnation, zone, peerAddress, adminAddress, draining, ownsQueues } = pull;
        const name = nameRun(pull);
        const known = this.standings.get(name);
        const view = {
            host,
            incarnation,
            zone,
            peerAddress,
            adminAddress,
            draining,
            ...(ownsQueues && { ownsQueues }),
        };
        const changed = !known || known.view.draining !== draining || known.view.peerAddress !== peerAddress;
        if (changed) this.noteChange(name, view);
        const revision = Math.max(pull.revision, known?.revision ?? 0);
        this.standings.set(name, { view, revision, leaseUntil: known?.leaseUntil ?? this.leaseEnd() });
    }

    /** Notes that an answer goes out now: the entry's lease ends one lease from now at the latest. */
    noteAnswer(pull: ViewPull): void {
        const standing = this.standings.get(nameRun(pull));
        if (standing) this.standings.set(nameRun(pull), { ...standing, leaseUntil: this.leaseEnd() });
    }

    /** The entries whose lease has not run out, each with the revision that it has in force. */
    listAcknowledged(): readonly AcknowledgedEntry[] {
        this.dropExpired();
        return [...this.standings.values()].map(({ view, revision }) => ({ ...view, revision }));
    }

    /** The entries whose lease has not run out. */
    listLive(): readonly EntryView[] {
        this.dropExpired();
        return [...this.standings.values()].map(({ view }) => view);
    }

    /** What has changed since a version; undefined when that is too long ago. */
    listChangesSince(version: number): EntryChanges | undefined {
        this.dropExpired();
        if (version < this.changesFrom) return undefined;
        const entries: EntryView[] = [];
        const gone: GoneEntry[] = [];
        for (const [name, change] of this.changes) {
            if (change.version <= version) continue;
            const standing = this.standings.get(name);
            if (standing) entries.push(standing.view);
            else gone.push(change.run);
        }
        return { entries, gone };
    }

    /** True once no entry can be working on an older revision. */
    isInForce(revision: number): boolean {
        return this.isComplete && this.isAppliedByAll(revision);
    }

    /** True once an entry's run can hold no lease any more, known to this holder or not. */
    hasLapsed(host: string, incarnation: string): boolean {
        this.dropExpired();
        return this.isComplete && !this.standings.has(nameRun({ host, incarnation }));
    }

    private isAppliedByAll(revision: number): boolean {
        this.dropExpired();
        return [...this.standings.values()].every(standing => standing.revision >= revision);
    }

    private dropExpired(): void {
        const now = this.clock.monotonic();
        for (const [name, standing] of this.standings) {
            if (now < standing.leaseUntil) continue;
            this.standings.delete(name);
            this.noteChange(name, standing.view);
        }
    }

    private noteChange(name: string, { host, incarnation }: EntryView): void {
        this.listVersion++;
        // Set again, so that the map stays in the order of the changes.
        this.changes.delete(name);
        this.changes.set(name, { version: this.listVersion, run: { host, incarnation } });
        if (this.changes.size <= MOST_CHANGES) return;
        const [oldest, { version }] = this.changes.entries().next().value!;
        this.changes.delete(oldest);
        this.changesFrom = version;
    }

    private leaseEnd(): number {
        return this.clock.monotonic() + this.leaseMs * (1 + LEASE_DRIFT);
    }
}

function nameRun({ host, incarnation }: { host: string; incarnation: string; }): string {
    return `${host} ${incarnation}`;
}
