import { ControlLog, ProposeError } from "../../consensus/index.js";
import { Clock } from "../../ports/index.js";
import { PeerRouter } from "../../wire/index.js";
import { COMMAND_METHOD, CommandReply } from "../command/index.js";
import { DEMAND_METHOD, demandReportSchema } from "../demandReport/index.js";
import { DemandTable } from "../demandTable/index.js";
import { parseEntryCommand } from "../entryCommandSchema/index.js";
import { EntryChanges, EntryTable } from "../entryTable/index.js";
import { MemberList, MEMBERS_METHOD } from "../memberList/index.js";
import { packChange } from "../packedView/index.js";
import { ControlState } from "../state/index.js";
import { VIEW_PULL_METHOD, ViewChange, ViewPull, ViewPullReply } from "../view/index.js";

/** How long an entry may work on one view unless settings say otherwise, in milliseconds. */
export const DEFAULT_VIEW_LEASE_MS = 5_000;
/** How often an operator's wait looks whether a change is in force, in milliseconds. */
const IN_FORCE_POLL_MS = 20;

/** What the service is made of. */
export interface ControlServiceOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly clock: Clock;
    /** Gets the methods that entries call. */
    readonly router: PeerRouter;
    /** How long an entry may work on one view, in milliseconds. */
    readonly viewLeaseMs: number;
    /** `IP:port` of the control processes. */
    readonly listControls?: () => readonly string[];
}

/** Asked of a process that may not answer; the message names who may, as far as is known. */
export class NotHolderError extends Error {
    constructor(readonly holder: string | undefined) {
        super(holder === undefined ? "not-holder" : `not-holder ${holder}`);
    }
}

/**
 * What a control process answers to entries. Views are read through the lease alone: a deposed holder that does not know it yet
 * would hand out keys that have been withdrawn since.
 *
 * @example
 * const service = new ControlService(options);
 * lifecycle.own(() => service.close());
 */
export class ControlService {
    readonly entries: EntryTable;
    readonly demand: DemandTable;
    private readonly sleepers = new Set<() => void>();
    private readonly stops: (() => void)[];
    private tableToken: number | undefined;
    private full: ViewChange | undefined;

    constructor(private readonly options: ControlServiceOptions) {
        const { log, state, clock, router, viewLeaseMs } = options;
        this.entries = new EntryTable(clock, viewLeaseMs);
        this.demand = new DemandTable(clock);
        router.add(COMMAND_METHOD, body => this.command(body));
        router.add(VIEW_PULL_METHOD, body => this.pull(body as ViewPull));
        router.add(DEMAND_METHOD, body => this.takeDemand(body));
        router.add(MEMBERS_METHOD, (): MemberList => ({ members: options.listControls?.() ?? [] }));
        this.stops = [
            state.onRevision(() => this.wakeSleepers()),
            log.onHolderChange(() => {
                this.startTerm();
                this.wakeSleepers();
            }),
        ];
    }

    /** Ends the waits under way; entries ask elsewhere. */
    close(): void {
        for (const stop of this.stops) stop();
        this.wakeSleepers();
    }

    /**
     * Waits until no entry can be working on an older revision than this one.
     *
     * @param limitMs - How long to wait at most, in milliseconds.
     * @returns False when the time ran out or the lease did.
     */
    async awaitInForce(revision: number, limitMs: number): Promise<boolean> {
        const { log, clock } = this.options;
        const deadline = clock.monotonic() + limitMs;
        while (log.holdsLease()) {
            this.startTerm();
            if (this.entries.isInForce(revision)) return true;
            if (clock.monotonic() >= deadline) return false;
            await clock.sleep(IN_FORCE_POLL_MS);
        }
        return false;
    }

    private async command(body: unknown): Promise<CommandReply> {
        const { log } = this.options;
        const command = parseEntryCommand(body);
        if (!log.holdsLease()) return { kind: "not-holder", holder: log.holder() };
        const result = await log.propose(command);
        return result.caseOf<CommandReply>({
            Left: describeFailure,
            Right: value => ({ kind: "applied", result: value }),
        });
    }

    private takeDemand(body: unknown): void {
        this.requireLease();
        this.demand.take(demandReportSchema.parse(body));
    }

    private async pull(pull: ViewPull): Promise<ViewPullReply> {
        const { state, viewLeaseMs } = this.options;
        this.requireLease();
        this.entries.notePull(pull);
        // Two waits and the way there and back must fit into one lease: the next answer comes before this lease ends.
        const waitMs = Math.min(pull.waitMs, viewLeaseMs / 3);
        if (!this.hasNews(pull) && waitMs > 0) await this.sleepUntilNews(waitMs);
        // The lease may have run out while this task slept.
        this.requireLease();
        this.entries.noteAnswer(pull);
        const isCurrent = pull.revision === state.revision && pull.revision > 0;
        const change = isCurrent ? {} : { change: this.describeChange(pull) };
        const controls = this.options.listControls?.();
        return { ...change, leaseMs: viewLeaseMs, controls, ...this.describeEntries(pull) };
    }

    private describeChange(pull: ViewPull): ViewChange {
        const { state } = this.options;
        if (!pull.takesPacked) return state.changeSince(pull.revision);
        if (pull.revision > 0) return packChange(state.changeSince(pull.revision));
        // Many entries may start at a time, and each needs the same.
        if (this.full?.revision !== state.revision) this.full = packChange(state.changeSince(0));
        return this.full;
    }

    private hasNews(pull: ViewPull): boolean {
        return pull.revision !== this.options.state.revision || pull.entriesVersion !== this.entriesVersion();
    }

    private describeEntries(pull: ViewPull): Omit<ViewPullReply, "change" | "leaseMs"> {
        const entries = this.entries.listLive();
        const entriesVersion = this.entriesVersion();
        if (pull.entriesVersion === entriesVersion) return { entries: [], entriesVersion, entriesUnchanged: true };
        const entriesPartial = !this.entries.isComplete;
        const changes = this.findEntryChanges(pull);
        if (!changes) return { entries, entriesVersion, entriesPartial };
        const { entries: changed, gone: goneEntries } = changes;
        return { entries: changed, goneEntries, entriesChanged: true, entriesVersion, entriesPartial };
    }

    /** Undefined when the entry needs the whole list: it has none of this term, or one from before the list was complete. */
    private findEntryChanges(pull: ViewPull): EntryChanges | undefined {
        const [token, version, isComplete] = pull.entriesVersion?.split(".") ?? [];
        if (!pull.takesEntryChanges || token !== `${this.tableToken}`) return undefined;
        if (isComplete !== `${this.entries.isComplete}`) return undefined;
        return this.entries.listChangesSince(Number(version));
    }

    private entriesVersion(): string {
        return `${this.tableToken}.${this.entries.version}.${this.entries.isComplete}`;
    }

    private requireLease(): void {
        const { log } = this.options;
        if (!log.holdsLease()) throw new NotHolderError(log.holder());
        this.startTerm();
    }

    /** The table is this term's alone: what an earlier term knew of leases is out of date. */
    private startTerm(): void {
        const token = this.options.log.fencingToken();
        if (this.tableToken === token) return;
        this.tableToken = token;
        this.entries.restart();
    }

    private sleepUntilNews(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                timer.cancel();
                this.sleepers.delete(wake);
                resolve();
            };
            const timer = this.options.clock.after(waitMs, wake);
            this.sleepers.add(wake);
        });
    }

    private wakeSleepers(): void {
        for (const wake of [...this.sleepers]) wake();
    }
}

function describeFailure(err: ProposeError): CommandReply {
    if (err.reason === "not-holder" && !err.mayCommit) return { kind: "not-holder", holder: err.holder };
    return { kind: "failed", mayCommit: err.mayCommit, reason: err.reason };
}
