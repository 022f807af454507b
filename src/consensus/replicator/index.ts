import { Either } from "purify-ts";
import { LogIndex, Term } from "../../ids/index.js";
import { Lifecycle, WaitCondition } from "../../lifecycle/index.js";
import { PeerError } from "../../wire/index.js";
import { Member } from "../member/index.js";
import {
    AppendReply,
    AppendRequest,
    HeartbeatReply,
    HeartbeatRequest,
    LeaderMessage,
    RpcMethod,
    SnapshotReply,
    SnapshotRequest,
} from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";
import { SilenceReport } from "../reportedSilences/index.js";
import { SilenceMeter } from "../silenceMeter/index.js";

const MAX_BATCH_BYTES = 256 * 1024;
const MAX_IN_FLIGHT_BATCHES = 8;
const SNAPSHOT_CHUNK_BYTES = 256 * 1024;
/** The most that the time between two heartbeats counts as silence, in heartbeat intervals. */
const MAX_HEARTBEAT_GAPS = 2;

/** The leadership to which a replicator belongs. */
export interface ReplicatorListener {
    /** Called when the peer has synced more entries. */
    onMatch(): void;
    /** Called when the peer has renewed its promise. */
    onContact(): void;
    /** Returns the members that do not answer, of which each heartbeat tells the peer. */
    listSilences(): readonly SilenceReport[];
}

/**
 * Replicates the log to one peer during one leader's term. Heartbeats and entries are sent by separate tasks, so that a
 * peer with a slow disk still renews the lease.
 *
 * @example
 * replicator.start();
 */
export class Replicator {
    private readonly lifecycle = new Lifecycle();
    private readonly workAvailable = new WaitCondition();
    private readonly term: Term;
    private nextIndex: LogIndex;
    private matchedIndex = 0 as LogIndex;
    private lastContactAt: number;
    private readonly silenceMeter: SilenceMeter;
    private inFlight = 0;
    private isProbing = true;
    /** Incremented when sending restarts, so that rejections of earlier batches are ignored. */
    private sendGeneration = 0;

    constructor(
        readonly member: Member,
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly listener: ReplicatorListener,
    ) {
        this.term = replica.term;
        this.nextIndex = replica.log.lastIndex + 1 as LogIndex;
        this.lastContactAt = Number.NEGATIVE_INFINITY;
        const { clock, silences, timing } = replica;
        const earlierMs = silences.silentMsOf(member.storeId);
        this.silenceMeter = new SilenceMeter(clock, MAX_HEARTBEAT_GAPS * timing.heartbeatMs, earlierMs);
    }

    /** Last index known to be synced on the peer. */
    get matchIndex(): LogIndex {
        return this.matchedIndex;
    }

    /** Time (`Clock.monotonicWithSuspend`) at which the newest heartbeat that the peer answered was sent. */
    get contactAt(): number {
        return this.lastContactAt;
    }

    /** For how long the peer has not answered heartbeats. */
    get silence(): Readonly<Pick<SilenceMeter, "silentMs" | "observedMs">> {
        return this.silenceMeter;
    }

    start(): void {
        this.links.linkTo(this.member.address);
        const onError = (err: unknown): void => this.replica.fail(err as Error);
        this.lifecycle.run(signal => this.runHeartbeats(signal), onError);
        this.lifecycle.run(signal => this.runReplication(signal), onError);
    }

    /** Wakes the task that sends entries. */
    wake(): void {
        this.workAvailable.notifyAll();
    }

    close(): Promise<void> {
        return this.lifecycle.close();
    }

    /** Sends a heartbeat immediately. */
    async sendHeartbeat(): Promise<void> {
        const { replica } = this;
        // Read before the request is sent: the peer's promise starts later, so the lease counted from here ends
        // earlier.
        const sentAt = replica.clock.monotonicWithSuspend();
        const silences = this.listener.listSilences();
        const request: HeartbeatRequest = {
            ...this.header(),
            commit: replica.commitIndex,
            ...(silences.length > 0 && { silences }),
        };
        const reply = await this.call<HeartbeatReply>(RpcMethod.Heartbeat, request, replica.timing.leaseMs);
        reply.ifRight(({ ok }) => {
            if (!ok) return;
            this.lastContactAt = Math.max(this.lastContactAt, sentAt);
            this.silenceMeter.recordAnswer();
            this.listener.onContact();
        });
    }

    private async runHeartbeats(signal: AbortSignal): Promise<void> {
        const { clock, timing } = this.replica;
        while (!signal.aborted) {
            this.silenceMeter.recordRequest();
            void this.sendHeartbeat();
            await clock.sleep(timing.heartbeatMs, signal);
        }
    }

    private async runReplication(signal: AbortSignal): Promise<void> {
        const { clock, timing, log } = this.replica;
        while (!signal.aborted) {
            const maxInFlight = this.isProbing ? 1 : MAX_IN_FLIGHT_BATCHES;
            const hasWork = this.isProbing || this.nextIndex <= log.lastIndex;
            if (!hasWork || this.inFlight >= maxInFlight) {
                await this.workAvailable.wait(clock, timing.leaseMs, signal);
            }
            else if (!this.links.linkTo(this.member.address).isOpen) {
                await clock.sleep(timing.heartbeatMs / 4, signal);
            }
            else if (this.nextIndex < log.firstIndex) {
                await this.sendSnapshot(signal);
            }
            else {
                void this.sendBatch(signal);
            }
        }
    }

    private async sendBatch(signal: AbortSignal): Promise<void> {
        const { replica, sendGeneration: generation } = this;
        const { log, timing } = replica;
        const prevIndex = this.nextIndex - 1 as LogIndex;
        const entries = log.slice(this.nextIndex, MAX_BATCH_BYTES);
        const request: AppendRequest = {
            ...this.header(),
            prevIndex,
            prevTerm: log.termAt(prevIndex) ?? 0 as Term,
            commit: replica.commitIndex,
            entries: entries.map(({ term, payload }) => [term, payload] as const),
        };
        this.nextIndex = this.nextIndex + entries.length as LogIndex;
        this.inFlight++;
        const reply = await this.call<AppendReply>(RpcMethod.Append, request, timing.appendTimeoutMs);
        this.inFlight--;
        if (signal.aborted) return;
        await reply.caseOf({
            Left: () => this.restartFrom(this.matchedIndex + 1 as LogIndex, generation, true, signal),
            Right: ({ ok, lastIndex }) => {
                if (ok) return this.recordMatch(prevIndex + entries.length as LogIndex, generation);
                const retry = Math.max(this.matchedIndex, Math.min(prevIndex - 1, lastIndex)) + 1 as LogIndex;
                return this.restartFrom(retry, generation, retry > prevIndex, signal);
            },
        });
        this.workAvailable.notifyAll();
    }

    private recordMatch(index: LogIndex, generation: number): void {
        if (generation === this.sendGeneration) this.isProbing = false;
        if (index <= this.matchedIndex) return;
        this.matchedIndex = index;
        this.nextIndex = Math.max(this.nextIndex, index + 1) as LogIndex;
        this.listener.onMatch();
    }

    /**
     * Restarts sending at an index, one batch at a time until the peer accepts one. The delay avoids flooding a failing
     * peer.
     */
    private async restartFrom(
        index: LogIndex,
        generation: number,
        withDelay: boolean,
        signal: AbortSignal,
    ): Promise<void> {
        if (generation !== this.sendGeneration) return;
        this.sendGeneration++;
        this.isProbing = true;
        this.nextIndex = index;
        if (!withDelay) return;
        const { clock, timing } = this.replica;
        this.inFlight++;
        await clock.sleep(timing.heartbeatMs / 4, signal);
        this.inFlight--;
    }

    private async sendSnapshot(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        const snapshot = await replica.store.readSnapshot();
        if (!snapshot) throw new Error("the log was compacted without a snapshot");
        const { index, term: indexTerm, state, configuration } = snapshot;
        const size = state.length;
        for (let offset = 0; offset === 0 || offset < size; offset += SNAPSHOT_CHUNK_BYTES) {
            const bytes = state.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES);
            const chunk = { index, indexTerm, configuration, offset, size, bytes };
            const request = { ...this.header(), ...chunk } as SnapshotRequest;
            const reply = await this.call<SnapshotReply>(RpcMethod.Snapshot, request, replica.timing.appendTimeoutMs);
            if (signal.aborted) return;
            if (!reply.map(({ ok }) => ok).orDefault(false)) {
                await replica.clock.sleep(replica.timing.heartbeatMs, signal);
                return;
            }
        }
        this.sendGeneration++;
        this.isProbing = true;
        this.nextIndex = index + 1 as LogIndex;
    }

    private header(): LeaderMessage {
        const { cluster, storeId, host } = this.replica;
        return { cluster: cluster!, from: storeId, to: this.member.storeId, term: this.term, host };
    }

    /** Calls the peer, and steps down when it replies from a later term. */
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
