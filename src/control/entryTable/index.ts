import { Clock } from "../../ports/index.js";
import { EntryRunId, EntryView, ViewPull } from "../view/index.js";

/** Maximum rate by which the holder's clock may run faster than an entry's, as a fraction. */
export const MAX_LEASE_DRIFT = 0.02;

/** An entry and the view revision that it uses. */
export interface AcknowledgedEntry extends EntryView {
    readonly revision: number;
}

/** Maximum number of remembered changes of the list; an entry that is further behind gets the full list. */
const MAX_CHANGES = 2_000;

/** Changes of the list of entries: those added or changed, and those gone. */
export interface EntryChanges {
    readonly entries: readonly EntryView[];
    readonly gone: readonly EntryRunId[];
}

interface ListChange {
    readonly version: number;
    readonly run: EntryRunId;
}

interface EntryLease {
    readonly view: EntryView;
    /** The view revision that the entry uses. */
    readonly revision: number;
    /** Monotonic time after which the entry accepts no new work on its current view, in milliseconds. */
    readonly leaseUntil: number;
}

/**
 * The entry processes known to the holder from their pulls: the view revision that each uses and the end of its lease.
 *
 * Prevents a change from being reported as in force while an entry still uses the old view. An entry unknown to a new holder may have a
 * lease from the previous one, so a new holder assumes for one full lease that such entries exist.
 *
 * @example
 * table.recordPull(pull);
 * const done = table.isInForce(revision);
 */
export class EntryTable {
    private readonly leases = new Map<string, EntryLease>();
    /** Monotonic time at which leases from an earlier holder have expired, in milliseconds. */
    private completeAt: number;
    private listVersion = 0;
    /** The latest change of each entry, ordered by version. */
    private readonly changes = new Map<string, ListChange>();
    /** All changes after this version are remembered. */
    private oldestVersion = 0;

    /**
     * @param leaseMs - Lease of a view, counted from when the entry sent its pull, in milliseconds.
     */
    constructor(private readonly clock: Clock, readonly leaseMs: number) {
        this.completeAt = this.findLeaseEnd();
    }

    /** Clears the table at the start of a new term. */
    restart(): void {
        this.leases.clear();
        this.changes.clear();
        this.completeAt = this.findLeaseEnd();
        this.oldestVersion = ++this.listVersion;
    }

    /** True once every live entry must have sent a pull in this term. */
    get isComplete(): boolean {
        return this.clock.monotonic() >= this.completeAt;
    }

    /** Version of the list of entries; increases with each change. */
    get version(): number {
        return this.listVersion;
    }

    /** Records an entry's pull. The entry's lease is extended only by the reply. */
    recordPull(pull: ViewPull): void {
        const { host, incarnation, zone, peerAddress, adminAddress, relayAddress, draining, ownsQueues } = pull;
        const runKey = formatRunKey(pull);
        const known = this.leases.get(runKey);
        const view = {
            host,
            incarnation,
            zone,
            peerAddress,
            adminAddress,
            draining,
            ...(relayAddress !== undefined && { relayAddress }),
            ...(ownsQueues && { ownsQueues }),
        };
        const changed = !known || known.view.draining !== draining || known.view.peerAddress !== peerAddress;
        if (changed) this.recordChange(runKey, view);
        const revision = Math.max(pull.revision, known?.revision ?? 0);
        this.leases.set(runKey, { view, revision, leaseUntil: known?.leaseUntil ?? this.findLeaseEnd() });
    }

    /** Records that a reply is sent now: the entry's lease ends at most one lease duration from now. */
    recordReply(pull: ViewPull): void {
        const lease = this.leases.get(formatRunKey(pull));
        if (lease) this.leases.set(formatRunKey(pull), { ...lease, leaseUntil: this.findLeaseEnd() });
    }

    /** Returns the entries whose lease has not expired, each with the view revision that it uses. */
    listAcknowledged(): readonly AcknowledgedEntry[] {
        this.dropExpired();
        return [...this.leases.values()].map(({ view, revision }) => ({ ...view, revision }));
    }

    /** Returns the entries whose lease has not expired. */
    listLive(): readonly EntryView[] {
        this.dropExpired();
        return [...this.leases.values()].map(({ view }) => view);
    }

    /** Returns the changes since a version; undefined when they are no longer remembered. */
    listChangesSince(version: number): EntryChanges | undefined {
        this.dropExpired();
        if (version < this.oldestVersion) return undefined;
        const entries: EntryView[] = [];
        const gone: EntryRunId[] = [];
        for (const [runKey, change] of this.changes) {
            if (change.version <= version) continue;
            const lease = this.leases.get(runKey);
            if (lease) entries.push(lease.view);
            else gone.push(change.run);
        }
        return { entries, gone };
    }

    /** True once no entry can be using an older revision. */
    isInForce(revision: number): boolean {
        return this.isComplete && this.isAppliedByAll(revision);
    }

    /** True once a run of an entry can't hold a lease any more, whether or not this holder knows it. */
    hasExpired(host: string, incarnation: string): boolean {
        this.dropExpired();
        return this.isComplete && !this.leases.has(formatRunKey({ host, incarnation }));
    }

    private isAppliedByAll(revision: number): boolean {
        this.dropExpired();
        return [...this.leases.values()].every(lease => lease.revision >= revision);
    }

    private dropExpired(): void {
        const now = this.clock.monotonic();
        for (const [runKey, lease] of this.leases) {
            if (now < lease.leaseUntil) continue;
            this.leases.delete(runKey);
            this.recordChange(runKey, lease.view);
        }
    }

    private recordChange(runKey: string, { host, incarnation }: EntryView): void {
        this.listVersion++;
        // Deletes before setting, so that the map stays ordered by version.
        this.changes.delete(runKey);
        this.changes.set(runKey, { version: this.listVersion, run: { host, incarnation } });
        if (this.changes.size <= MAX_CHANGES) return;
        const [oldest, { version }] = this.changes.entries().next().value!;
        this.changes.delete(oldest);
        this.oldestVersion = version;
    }

    private findLeaseEnd(): number {
        return this.clock.monotonic() + this.leaseMs * (1 + MAX_LEASE_DRIFT);
    }
}

function formatRunKey({ host, incarnation }: { host: string; incarnation: string; }): string {
    return `${host} ${incarnation}`;
}
