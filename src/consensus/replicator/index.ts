import { Either } from "purify-ts";
import { LogIndex, Term } from "../../ids/index.js";
import { Gate, Lifecycle } from "../../lifecycle/index.js";
import { PeerError } from "../../wire/index.js";
import { Member } from "../member/index.js";
import {
    AppendReply,
    AppendRequest,
    HeartbeatReply,
    HeartbeatRequest,
    LeaderMessage,
    Method,
    SnapshotReply,
    SnapshotRequest,
} from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

const MOST_BATCH_BYTES = 256 * 1024;
const MOST_IN_FLIGHT = 8;
const CHUNK_BYTES = 256 * 1024;

/** Told of what a peer acknowledged. */
export interface ReplicatorListener {
    /** The peer has synced more entries. */
    onMatch(): void;
    /** The peer renewed its promise. */
    onContact(): void;
}

/**
 * Brings one peer up to date during one leader's term: one task for heartbeats and one for entries, so that a peer whose
 * disk is slow still renews the lease.
 *
 * @example
 * replicator.start();
 */
export class Replicator {
    private readonly lifecycle = new Lifecycle();
    private readonly work = new Gate();
    private readonly term: Term;
    private next: LogIndex;
    private matched = 0 as LogIndex;
    private contact: number;
    private inFlight = 0;
    private isProbing = true;
    /** Raised when sending starts anew, so that refusals of what was sent before are ignored. */
    private round = 0;

    constructor(
        readonly member: Member,
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly listener: ReplicatorListener,
    ) {
        this.term = replica.term;
        this.next = replica.log.lastIndex + 1 as LogIndex;
        this.contact = Number.NEGATIVE_INFINITY;
    }

    /** The last index known to be synced at the peer. */
    get matchIndex(): LogIndex {
        return this.matched;
    }

    /** When the newest heartbeat that the peer answered left here, as `Clock.elapsed` counts. */
    get contactAt(): number {
        return this.contact;
    }

    start(): void {
        this.links.to(this.member.address);
        const onError = (err: unknown): void => this.replica.fail(err as Error);
        this.lifecycle.run(signal => this.sendHeartbeats(signal), onError);
        this.lifecycle.run(signal => this.sendEntries(signal), onError);
    }

    /** Wakes the task that sends entries. */
    wake(): void {
        this.work.open();
    }

    close(): Promise<void> {
        return this.lifecycle.close();
    }

    /** Sends a heartbeat at once, besides those of the task. */
    async beat(): Promise<void> {
        const { replica } = this;
        // Taken before the request leaves: the peer's promise starts later, so the lease counted from here ends earlier.
        const sentAt = replica.clock.elapsed();
        const request: HeartbeatRequest = { ...this.header(), commit: replica.commitIndex };
        const reply = await this.call<HeartbeatReply>(Method.Heartbeat, request, replica.timing.leaseMs);
        reply.ifRight(({ ok }) => {
            if (!ok) return;
            this.contact = Math.max(this.contact, sentAt);
            this.listener.onContact();
        });
    }

    private async sendHeartbeats(signal: AbortSignal): Promise<void> {
        const { clock, timing } = this.replica;
        while (!signal.aborted) {
            void this.beat();
            await clock.sleep(timing.heartbeatMs, signal);
        }
    }

    private async sendEntries(signal: AbortSignal): Promise<void> {
        const { clock, timing, log } = this.replica;
        while (!signal.aborted) {
            const mostInFlight = this.isProbing ? 1 : MOST_IN_FLIGHT;
            const hasWork = this.isProbing || this.next <= log.lastIndex;
            if (!hasWork || this.inFlight >= mostInFlight) {
                await this.work.wait(clock, timing.leaseMs, signal);
            }
            else if (!this.links.to(this.member.address).isOpen) {
                await clock.sleep(timing.heartbeatMs / 4, signal);
            }
            else if (this.next < log.firstIndex) {
                await this.sendSnapshot(signal);
            }
            else {
                void this.sendBatch(signal);
            }
        }
    }

    private async sendBatch(signal: AbortSignal): Promise<void> {
        const { replica, round } = this;
        const { log, timing } = replica;
        const prevIndex = this.next - 1 as LogIndex;
        const entries = log.slice(this.next, MOST_BATCH_BYTES);
        const request: AppendRequest = {
            ...this.header(),
            prevIndex,
            prevTerm: log.termAt(prevIndex) ?? 0 as Term,
            commit: replica.commitIndex,
            entries: entries.map(({ term, payload }) => [term, payload] as const),
        };
        this.next = this.next + entries.length as LogIndex;
        this.inFlight++;
        const reply = await this.call<AppendReply>(Method.Append, request, timing.appendTimeoutMs);
        this.inFlight--;
        if (signal.aborted) return;
        await reply.caseOf({
            Left: () => this.restart(this.matched + 1 as LogIndex, round, true, signal),
            Right: ({ ok, lastIndex }) => {
                if (ok) return this.takeMatch(prevIndex + entries.length as LogIndex, round);
                const retry = Math.max(this.matched, Math.min(prevIndex - 1, lastIndex)) + 1 as LogIndex;
                return this.restart(retry, round, retry > prevIndex, signal);
            },
        });
        this.work.open();
    }

    private takeMatch(index: LogIndex, round: number): void {
        if (round === this.round) this.isProbing = false;
        if (index <= this.matched) return;
        this.matched = index;
        this.next = Math.max(this.next, index + 1) as LogIndex;
        this.listener.onMatch();
    }

    /** Sends from an index on, one batch at a time until one fits. The pause keeps a peer that fails from being flooded. */
    private async restart(next: LogIndex, round: number, pauses: boolean, signal: AbortSignal): Promise<void> {
        if (round !== this.round) return;
        this.round++;
        this.isProbing = true;
        this.next = next;
        if (!pauses) return;
        const { clock, timing } = this.replica;
        this.inFlight++;
        await clock.sleep(timing.heartbeatMs / 4, signal);
        this.inFlight--;
    }

    private async sendSnapshot(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        const snapshot = await replica.store.readSnapshot();
        if (!snapshot) throw new Error("the log was cut without a snapshot");
        const { index, term: indexTerm, state, configuration } = snapshot;
        const size = state.length;
        for (let offset = 0; offset === 0 || offset < size; offset += CHUNK_BYTES) {
            const bytes = state.subarray(offset, offset + CHUNK_BYTES);
            const chunk = { index, indexTerm, configuration, offset, size, bytes };
            const request = { ...this.header(), ...chunk } as SnapshotRequest;
            const reply = await this.call<SnapshotReply>(Method.Snapshot, request, replica.timing.appendTimeoutMs);
            if (signal.aborted) return;
            if (!reply.map(({ ok }) => ok).orDefault(false)) {
                await replica.clock.sleep(replica.timing.heartbeatMs, signal);
                return;
            }
        }
        this.round++;
        this.isProbing = true;
        this.next = index + 1 as LogIndex;
    }

    private header(): LeaderMessage {
        const { cluster, storeId, host } = this.replica;
        return { cluster: cluster!, from: storeId, to: this.member.storeId, term: this.term, host };
    }

    /** Asks the peer, and steps down when it answers from a later term. */
    private async call<Reply extends { readonly term: Term; }>(
        method: string,
        body: unknown,
        timeoutMs: number,
    ): Promise<Either<PeerError, Reply>> {
        const reply = await this.links.call<Reply>(this.member.address, method, body, timeoutMs);
        reply.ifRight(({ term }) => this.replica.adoptTerm(term));
        return reply;
    }
}
