import { ControlLog, ProposeError } from "../../consensus/index.js";
import { Clock } from "../../ports/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlState } from "../controlState/index.js";
import { DEMAND_METHOD, demandReportSchema } from "../demandReport/index.js";
import { DemandTable } from "../demandTable/index.js";
import { COMMAND_METHOD, CommandReply } from "../entryCommand/index.js";
import { EntryChanges, EntryTable } from "../entryTable/index.js";
import { MemberList, MEMBERS_METHOD } from "../memberList/index.js";
import { packChange } from "../packedView/index.js";
import { parseEntryCommand } from "../parseEntryCommand/index.js";
import { VIEW_PULL_METHOD, ViewChange, ViewPull, ViewPullReply } from "../view/index.js";

/** Default freshness lease of an entry's view, in milliseconds. */
export const DEFAULT_VIEW_LEASE_MS = 5_000;
/** Poll interval while waiting for a change to be in force, in milliseconds. */
const IN_FORCE_POLL_MS = 20;

/** Options of `ControlService`. */
export interface ControlServiceOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly clock: Clock;
    /** The methods that entry processes call are registered here. */
    readonly router: PeerRouter;
    /** Freshness lease of an entry's view: how long an entry may use a view after it asked for it, in milliseconds. */
    readonly viewLeaseMs: number;
    /** Returns the `IP:port` of each control process. */
    readonly listControls?: () => readonly string[];
}

/** The request needs the lease holder and this process is not it; the message names the holder if it is known. */
export class NotHolderError extends Error {
    constructor(readonly holder: string | undefined) {
        super(holder === undefined ? "not-holder" : `not-holder ${holder}`);
    }
}

/**
 * Serves entry processes: commands, view pulls and demand reports. Only the lease holder serves views: a deposed holder that has
 * not noticed yet would return keys that have been withdrawn in the meantime.
 *
 * @example
 * const service = new ControlService(options);
 * lifecycle.own(() => service.close());
 */
export class ControlService {
    /** Entry processes known from their pulls, with their leases. */
    readonly entries: EntryTable;
    /** Latest demand reports of the pools. */
    readonly demand: DemandTable;
    private readonly waiters = new Set<() => void>();
    private readonly unsubscribers: (() => void)[];
    /** Fencing token of the term to which `entries` belongs. */
    private entriesToken: number | undefined;
    /** Packed full view of the latest revision, shared by all entries that need it. */
    private fullChange: ViewChange | undefined;

    constructor(private readonly options: ControlServiceOptions) {
        const { log, state, clock, router, viewLeaseMs } = options;
        this.entries = new EntryTable(clock, viewLeaseMs);
        this.demand = new DemandTable(clock);
        router.add(COMMAND_METHOD, body => this.applyCommand(body));
        router.add(VIEW_PULL_METHOD, body => this.answerPull(body as ViewPull));
        router.add(DEMAND_METHOD, body => this.recordDemand(body));
        router.add(MEMBERS_METHOD, (): MemberList => ({ members: options.listControls?.() ?? [] }));
        this.unsubscribers = [
            state.onRevision(() => this.wakeWaiters()),
            log.onHolderChange(() => {
                this.resetForNewTerm();
                this.wakeWaiters();
            }),
        ];
    }

    /** Ends the pending pulls; the entries then ask another control process. */
    close(): void {
        for (const stop of this.unsubscribers) stop();
        this.wakeWaiters();
    }

    /**
     * Waits until no entry can be using a revision older than the given one.
     *
     * @param limitMs - Maximum wait, in milliseconds.
     * @returns False when the time limit or the lease expired first.
     */
    async awaitInForce(revision: number, limitMs: number): Promise<boolean> {
        const { log, clock } = this.options;
        const deadline = clock.monotonic() + limitMs;
        while (log.holdsLease()) {
            this.resetForNewTerm();
            if (this.entries.isInForce(revision)) return true;
            if (clock.monotonic() >= deadline) return false;
            await clock.sleep(IN_FORCE_POLL_MS);
        }
        return false;
    }

    private async applyCommand(body: unknown): Promise<CommandReply> {
        const { log } = this.options;
        const command = parseEntryCommand(body);
        if (!log.holdsLease()) return { kind: "not-holder", holder: log.holder() };
        const result = await log.propose(command);
        return result.caseOf<CommandReply>({
            Left: toFailureReply,
            Right: value => ({ kind: "applied", result: value }),
        });
    }

    private recordDemand(body: unknown): void {
        this.requireLease();
        this.demand.record(demandReportSchema.parse(body));
    }

    private async answerPull(pull: ViewPull): Promise<ViewPullReply> {
        const { state, viewLeaseMs } = this.options;
        this.requireLease();
        this.entries.recordPull(pull);
        // Two waits and the network round trip must fit into one lease, so that the next reply arrives before this lease ends.
        const waitMs = Math.min(pull.waitMs, viewLeaseMs / 3);
        if (!this.hasChanges(pull) && waitMs > 0) await this.waitForChange(waitMs);
        // The lease may have expired during the wait.
        this.requireLease();
        this.entries.recordReply(pull);
        const isCurrent = pull.revision === state.revision && pull.revision > 0;
        const change = isCurrent ? {} : { change: this.buildChange(pull) };
        const controls = this.options.listControls?.();
        return { ...change, leaseMs: viewLeaseMs, controls, ...this.buildEntryList(pull) };
    }

    private buildChange(pull: ViewPull): ViewChange {
        const { state } = this.options;
        if (!pull.takesPacked) return state.changeSince(pull.revision);
        if (pull.revision > 0) return packChange(state.changeSince(pull.revision));
        // Many entries may start at the same time, and all need the same full view.
        if (this.fullChange?.revision !== state.revision) this.fullChange = packChange(state.changeSince(0));
        return this.fullChange;
    }

    private hasChanges(pull: ViewPull): boolean {
        return pull.revision !== this.options.state.revision || pull.entriesVersion !== this.entriesVersion();
    }

    private buildEntryList(pull: ViewPull): Omit<ViewPullReply, "change" | "leaseMs"> {
        const entries = this.entries.listLive();
        const entriesVersion = this.entriesVersion();
        if (pull.entriesVersion === entriesVersion) return { entries: [], entriesVersion, entriesUnchanged: true };
        const entriesPartial = !this.entries.isComplete;
        const changes = this.findEntryChanges(pull);
        if (!changes) return { entries, entriesVersion, entriesPartial };
        const { entries: changed, gone: goneEntries } = changes;
        return { entries: changed, goneEntries, entriesChanged: true, entriesVersion, entriesPartial };
    }

    /** Returns undefined when the entry needs the full list: it has no list of this term, or one from before the list was complete. */
    private findEntryChanges(pull: ViewPull): EntryChanges | undefined {
        const [token, version, isComplete] = pull.entriesVersion?.split(".") ?? [];
        if (!pull.takesEntryChanges || token !== `${this.entriesToken}`) return undefined;
        if (isComplete !== `${this.entries.isComplete}`) return undefined;
        return this.entries.listChangesSince(Number(version));
    }

    private entriesVersion(): string {
        return `${this.entriesToken}.${this.entries.version}.${this.entries.isComplete}`;
    }

    private requireLease(): void {
        const { log } = this.options;
        if (!log.holdsLease()) throw new NotHolderError(log.holder());
        this.resetForNewTerm();
    }

    /** Clears the entry table when the term has changed: leases recorded in an earlier term are outdated. */
    private resetForNewTerm(): void {
        const token = this.options.log.fencingToken();
        if (this.entriesToken === token) return;
        this.entriesToken = token;
        this.entries.restart();
    }

    private waitForChange(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                timer.cancel();
                this.waiters.delete(wake);
                resolve();
            };
            const timer = this.options.clock.after(waitMs, wake);
            this.waiters.add(wake);
        });
    }

    private wakeWaiters(): void {
        for (const wake of [...this.waiters]) wake();
    }
}

function toFailureReply(err: ProposeError): CommandReply {
    if (err.reason === "not-holder" && !err.mayCommit) return { kind: "not-holder", holder: err.holder };
    return { kind: "failed", mayCommit: err.mayCommit, reason: err.reason };
}
