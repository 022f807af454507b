import { Address, formatAddress } from "../../ports/index.js";
import { findMember } from "../member/index.js";
import { JoinReply, JoinRequest, RpcMethod } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

const LOG_INTERVAL_MS = 10_000;
/** How often a member checks whether a leader treats it as one: a suspended host finds out soon after it wakes. */
const RECOGNITION_CHECKS_PER_LEASE = 3;
/** Results of join requests, the most conclusive first. */
const JOIN_RESULTS: readonly JoinReply["result"][] = ["member", "added", "retired", "busy", "not-leader"];

/**
 * Requests to join the cluster whenever no leader treats this replica as a member.
 *
 * @example
 * lifecycle.run(signal => joinTask.run(signal), onError);
 */
export class JoinTask {
    /** Monotonic time since which this replica has asked to join, in milliseconds; undefined: a leader treats it as a member. */
    private askingSince: number | undefined;
    private loggedResult: string | undefined;
    private nextLogAt = 0;
    private isStopped = false;

    constructor(
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        /** Address at which the other members reach this replica. */
        private readonly address: Address,
        /** Returns the addresses in the settings at which a leader, or a member that knows it, may be found. */
        private readonly listSeeds: () => readonly Address[],
    ) {}

    /** Ends the requests, because this replica is about to stop. */
    stop(): void {
        this.isStopped = true;
    }

    /** Runs until the signal is aborted or `stop` was called. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, timing, changed } = this.replica;
        while (!signal.aborted && !this.isStopped) {
            if (this.isRecognized()) {
                this.askingSince = undefined;
                await changed.wait(clock, timing.leaseMs / RECOGNITION_CHECKS_PER_LEASE, signal);
                continue;
            }
            this.askingSince ??= clock.monotonic();
            await this.requestJoin();
            await clock.sleep(timing.joinRetryMs, signal);
        }
    }

    /**
     * Returns whether a leader treats this replica as a member. The local configuration is not sufficient: the entry
     * that added a learner may have been removed by a later leader, and a removed replica does not receive the entry
     * that removes it. A member that receives nothing from a leader for a lease is therefore not recognized either.
     */
    private isRecognized(): boolean {
        const { replica } = this;
        if (replica.isLeader) return true;
        const isMember = findMember(replica.configuration, replica.storeId) !== undefined;
        return isMember && replica.leaderSilenceMs < replica.timing.leaseMs;
    }

    private async requestJoin(): Promise<void> {
        const { replica } = this;
        const known = [...this.listSeeds(), ...replica.configuration.members.map(member => member.address)];
        const addresses = new Map(known.map(address => [formatAddress(address), address]));
        const replies = await Promise.all([...addresses.values()].map(address => this.sendJoinRequest(address)));
        const leader = replies.find(reply => reply?.leader)?.leader;
        if (leader) replies.push(await this.sendJoinRequest(leader));
        this.logJoinResults(replies);
    }

    /**
     * Logs why this replica is not a member yet: when that changes, and at most once per interval otherwise. An election
     * or the start of a process is over before it is logged.
     */
    private logJoinResults(replies: readonly (JoinReply | undefined)[]): void {
        const { clock, logger, storeId, timing } = this.replica;
        if (clock.monotonic() - this.askingSince! < timing.leaseMs) return;
        const results = replies.flatMap(reply => reply ? [reply.result] : []);
        const result = JOIN_RESULTS.find(known => results.includes(known)) ?? "unanswered";
        if (result === this.loggedResult && clock.monotonic() < this.nextLogAt) return;
        this.loggedResult = result;
        this.nextLogAt = clock.monotonic() + LOG_INTERVAL_MS;
        if (result === "retired") logger.error("member-retired", { storeId });
        else if (result !== "member" && result !== "added") logger.warn("join-waits", { storeId, result });
    }

    private async sendJoinRequest(address: Address): Promise<JoinReply | undefined> {
        if (formatAddress(address) === formatAddress(this.address)) return undefined;
        const { cluster, storeId, host, timing } = this.replica;
        const request = { cluster, host, storeId, address: this.address } as JoinRequest;
        const reply = await this.links.call<JoinReply>(address, RpcMethod.Join, request, timing.leaseMs);
        return reply.toMaybe().extract();
    }
}
