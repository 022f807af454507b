import { Either, Left, Right } from "purify-ts";
import { ControlLog, ProposeError, StateMachine } from "../../consensus/index.js";
import { FencingToken, HostId, LogIndex } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";

/**
 * Simulated outcome of a proposal. `apply`: committed and confirmed. `lose-answer`: committed, but reported to the proposer as lost.
 * `lose`: not committed and reported as lost. `delay`: reported as lost and committed later by `commitDelayed`.
 */
export type ProposalOutcome = "apply" | "lose-answer" | "lose" | "delay";

interface Entry {
    /** The encoded command. */
    readonly bytes: Uint8Array;
    readonly proposedAt: number;
}

/**
 * In-memory control logs of several hosts inside one process, without replication or disk, for tests of code that uses the log.
 *
 * @example
 * const group = new MemoryLogGroup(clock);
 * const log = group.join("control-1" as HostId, new ControlState());
 * group.elect("control-1" as HostId);
 */
export class MemoryLogGroup {
    readonly entries: Entry[] = [];
    /** Outcome of further proposals. */
    proposalOutcome: ProposalOutcome = "apply";
    private readonly delayed: Entry[] = [];
    private readonly members = new Map<HostId, MemoryControlLog>();
    private leader: HostId | undefined;
    private token = 0;

    constructor(readonly clock: Clock) {}

    get holder(): HostId | undefined {
        return this.leader;
    }

    /** Adds a replica and applies all committed entries to it. */
    join(host: HostId, state: StateMachine): MemoryControlLog {
        const log = new MemoryControlLog(this, host, state);
        this.members.set(host, log);
        log.catchUp();
        return log;
    }

    /** Makes a replica the holder. An isolated previous holder keeps its lease until it expires. */
    elect(host: HostId): void {
        const previous = this.leader && this.members.get(this.leader);
        this.leader = host;
        this.token++;
        if (previous && !previous.isIsolated) previous.setLease(-Infinity);
        this.members.get(host)!.startTerm(this.token as FencingToken);
    }

    /** Isolates a replica: its lease expires after `leaseLeftMs`, it receives no entries, and its proposals are lost. */
    isolate(host: HostId, leaseLeftMs: number): void {
        this.members.get(host)!.isolate(leaseLeftMs);
    }

    /** Ends a replica's isolation; a deposed holder loses its lease. */
    heal(host: HostId): void {
        this.members.get(host)!.heal(this.leader === host);
    }

    /** Commits the delayed entries. */
    commitDelayed(): void {
        for (const entry of this.delayed.splice(0)) this.commit(entry);
    }

    delay(entry: Entry): void {
        this.delayed.push(entry);
    }

    commit(entry: Entry): void {
        this.entries.push(entry);
        for (const member of this.members.values()) member.catchUp();
    }
}

/** One replica of a `MemoryLogGroup`. */
export class MemoryControlLog extends ControlLog {
    private readonly listeners = new Set<(holds: boolean) => void>();
    private applied = 0;
    private leaseUntil = -Infinity;
    private token = 0 as FencingToken;
    private isolated = false;
    private lastResult: unknown;

    constructor(
        private readonly group: MemoryLogGroup,
        private readonly host: HostId,
        private readonly state: StateMachine,
    ) {
        super();
    }

    get isIsolated(): boolean {
        return this.isolated;
    }

    async propose(command: unknown): Promise<Either<ProposeError, unknown>> {
        const { group, host } = this;
        if (this.isolated) return Left(new ProposeError("lost", true, undefined));
        if (group.holder !== host) return Left(new ProposeError("not-holder", false, group.holder));
        if (group.proposalOutcome === "lose") return Left(new ProposeError("lost", true, host));
        const entry = { bytes: encodeValue(command), proposedAt: group.clock.now() };
        if (group.proposalOutcome === "delay") {
            group.delay(entry);
            return Left(new ProposeError("lost", true, host));
        }
        group.commit(entry);
        const result = this.lastResult;
        if (group.proposalOutcome === "lose-answer") return Left(new ProposeError("lost", true, host));
        return Right(result);
    }

    holdsLease(): boolean {
        return this.group.clock.monotonic() < this.leaseUntil;
    }

    fencingToken(): FencingToken {
        return this.token;
    }

    holder(): HostId | undefined {
        return this.isolated ? undefined : this.group.holder;
    }

    appliedIndex(): LogIndex {
        return this.applied as LogIndex;
    }

    onHolderChange(listener: (holds: boolean) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    catchUp(): void {
        if (this.isolated) return;
        while (this.applied < this.group.entries.length) {
            const { bytes, proposedAt } = this.group.entries[this.applied++];
            const index = this.applied as LogIndex;
            this.lastResult = decodeValue(encodeValue(this.state.apply(decodeValue(bytes), { index, proposedAt })));
        }
    }

    startTerm(token: FencingToken): void {
        this.token = token;
        this.setLease(Infinity);
    }

    setLease(until: number): void {
        this.leaseUntil = until;
        this.notifyListeners();
    }

    isolate(leaseLeftMs: number): void {
        this.isolated = true;
        if (!this.holdsLease()) return;
        this.leaseUntil = this.group.clock.monotonic() + leaseLeftMs;
        this.group.clock.after(leaseLeftMs, () => this.notifyListeners());
    }

    heal(isHolder: boolean): void {
        this.isolated = false;
        this.catchUp();
        this.setLease(isHolder ? Infinity : -Infinity);
    }

    private notifyListeners(): void {
        for (const listener of this.listeners) listener(this.holdsLease());
    }
}
