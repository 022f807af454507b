import { ClusterId, HostId, LogIndex } from "../../ids/index.js";
import { Address, formatAddress, Random } from "../../ports/index.js";
import { StoreError } from "../../store/index.js";
import { Configuration, Member } from "../member/index.js";
import { BootstrapStatusReply, BootstrapStatusRequest, RpcMethod } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** One host of the list of hosts that bootstrap a cluster. */
export interface BootstrapMember {
    /** Undefined where only addresses are known (seeds). The host then provides its name in its reply. */
    readonly host?: HostId;
    readonly address: Address;
}

/** Host and address of the local replica. */
export interface BootstrapSelf {
    readonly host: HostId;
    readonly address: Address;
}

/** Status reply and the address that it came from. */
interface ReceivedStatus {
    readonly address: Address;
    readonly reply: BootstrapStatusReply;
}

const CLUSTER_ID_BYTES = 8;
/**
 * How long a host's pledge lasts: having reported an empty data folder to the initiator, it joins no cluster that
 * another folder created.
 */
const PLEDGE_MS = 30_000;
/**
 * Maximum age of the replies on which the initiator creates a cluster. Much shorter than the pledge, so clock drift
 * does not matter.
 */
const MAX_STATUS_AGE_MS = 5_000;

const LOG_INTERVAL_MS = 10_000;

/** Pledge to join only the cluster of the data folder that sent a status request. */
interface JoinPledge {
    readonly to: BootstrapStatusRequest;
    readonly until: number;
}

/**
 * Binds an empty data folder to a cluster. The initial hosts create the cluster; later hosts discover and join it.
 *
 * Prevents a host that lost its disk from being treated as a new host: it would bootstrap a second cluster, or vote
 * again in an election in which its lost folder had voted, and accepted entries would disappear. This is prevented as
 * follows:
 * - The folder's store id is part of the voter's identity. A new folder has a new one, which is in no members' list, so
 *   nobody asks it for a vote, and a vote asked of the lost folder is refused.
 * - Only one host of the list, the initiator (the first by name, or by address where names are not known), creates a
 *   cluster, and only after each host of the list, not a majority, has reported an empty folder. A host whose folder
 *   belongs to a cluster never reports that, and for an unreachable host the initiator waits.
 * - A host that has reported an empty folder pledges to join no cluster that another folder than the asking one
 *   created. An initiator that loses its disk during the bootstrap therefore can't leave two clusters that both gain
 *   members.
 * - A folder belongs to one cluster forever; messages carry the cluster's id.
 *
 * @example
 * await clusterBootstrap.run(signal);
 */
export class ClusterBootstrap {
    private pledge: JoinPledge | undefined;
    private isJoining = false;
    private nextLogAt: number;

    constructor(
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly random: Random,
        private readonly self: BootstrapSelf,
        private readonly bootstrap: readonly BootstrapMember[],
        /** False: this host only joins a cluster, for example because its previous data folder is known to be lost. */
        private readonly mayInitiate = true,
        /** Returns further addresses at which a cluster to join may be found; they play no part in founding one. */
        private readonly listSeeds: () => readonly Address[] = () => [],
    ) {
        this.nextLogAt = replica.clock.monotonic() + LOG_INTERVAL_MS;
    }

    /** Resolves once the folder belongs to a cluster or the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, timing } = this.replica;
        for (const { address } of this.others()) this.links.linkTo(address);
        while (!signal.aborted && !this.replica.cluster) {
            await this.attempt(signal);
            if (!this.replica.cluster) await clock.sleep(timing.heartbeatMs / 4, signal);
        }
    }

    /**
     * Handles a status request from a host whose data folder is empty.
     *
     * @throws Error while this folder is joining a cluster, so that nobody relies on its being empty.
     */
    handleStatus(req: BootstrapStatusRequest): BootstrapStatusReply {
        const { cluster, store, storeId, host, clock } = this.replica;
        if (cluster) return { host, storeId, cluster, founding: store.identity.founding as Configuration };
        if (this.isJoining) throw new Error("about to join a cluster");
        if (this.isInitiator(req.host, req.address)) this.pledge = { to: req, until: clock.monotonic() + PLEDGE_MS };
        return { host, storeId };
    }

    private async attempt(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        const startedAt = replica.clock.monotonic();
        const statuses = await this.queryOthers();
        if (signal.aborted) return;
        const joinable = statuses.find(({ reply }) => reply.cluster && this.mayJoin(reply))?.reply;
        if (joinable) {
            await this.join(joinable.cluster!, joinable.founding!);
            return;
        }
        const listed = statuses.filter(({ address }) => this.others().some(other => isSame(other.address, address)));
        const areAllEmpty = listed.length === this.others().length && listed.every(({ reply }) => !reply.cluster);
        if (!areAllEmpty) this.logWaiting(statuses);
        const isFresh = replica.clock.monotonic() - startedAt < MAX_STATUS_AGE_MS;
        const isInitiator = this.mayInitiate && this.isInitiator(this.self.host, formatAddress(this.self.address));
        if (!areAllEmpty || !isFresh || !isInitiator) return;
        const cluster = Buffer.from(this.random.bytes(CLUSTER_ID_BYTES)).toString("hex") as ClusterId;
        await this.join(cluster, this.initialConfiguration(listed));
        replica.logger.info("cluster-founded", { cluster, members: this.bootstrap.length });
    }

    /** Logs which hosts have not replied. Otherwise an operator could not tell which host an idle one waits for. */
    private logWaiting(statuses: readonly ReceivedStatus[]): void {
        const { clock, logger } = this.replica;
        if (clock.monotonic() < this.nextLogAt) return;
        this.nextLogAt = clock.monotonic() + LOG_INTERVAL_MS;
        const missing = this.others().filter(({ address }) =>
            !statuses.some(status => isSame(status.address, address))
        );
        const names = missing.map(({ host, address }) => host ?? formatAddress(address));
        logger.warn("founding-waits", { missing: names.join(" ") });
    }

    /** Joins a cluster. A full disk leaves the folder unchanged, and the next attempt tries again. */
    private async join(cluster: ClusterId, initial: Configuration): Promise<void> {
        this.isJoining = true;
        try {
            await this.replica.joinCluster(cluster, initial);
        }
        catch (err) {
            this.replica.handleStoreError(err as StoreError);
        }
        this.isJoining = false;
    }

    private async queryOthers(): Promise<ReceivedStatus[]> {
        const { storeId, host, timing } = this.replica;
        const request: BootstrapStatusRequest = { host, storeId, address: formatAddress(this.self.address) };
        const statuses = await Promise.all(
            this.listQueried().map(async ({ host: expected, address }) => {
                const answer = await this.links.call<BootstrapStatusReply>(
                    address,
                    RpcMethod.BootstrapStatus,
                    request,
                    timing.leaseMs,
                );
                const reply = answer.toMaybe().extract();
                if (!reply || (expected !== undefined && reply.host !== expected)) return undefined;
                return { address, reply };
            }),
        );
        return statuses.filter(status => status !== undefined);
    }

    /** Returns whether this folder may join the cluster in a reply without breaking its pledge. */
    private mayJoin(reply: BootstrapStatusReply): boolean {
        const { pledge } = this;
        if (!pledge || this.replica.clock.monotonic() >= pledge.until) return true;
        const initiator = reply.founding!.members.find(member => member.host === pledge.to.host);
        return initiator?.storeId === pledge.to.storeId || reply.storeId === pledge.to.storeId;
    }

    private initialConfiguration(statuses: readonly ReceivedStatus[]): Configuration {
        const members = this.bootstrap.map(({ address }): Member => {
            const reply = statuses.find(status => isSame(status.address, address))?.reply;
            const { host, storeId } = reply ?? this.replica;
            return { host, storeId, address, role: "voter", since: 0 as LogIndex };
        });
        return { members, retired: [] };
    }

    private listQueried(): readonly BootstrapMember[] {
        const isListed = (seed: Address): boolean => this.bootstrap.some(({ address }) => isSame(address, seed));
        const isOther = (seed: Address): boolean => !isSame(seed, this.self.address) && !isListed(seed);
        return [...this.others(), ...this.listSeeds().filter(isOther).map(address => ({ address }))];
    }

    private others(): readonly BootstrapMember[] {
        return this.bootstrap.filter(({ address }) => !isSame(address, this.self.address));
    }

    private isInitiator(host: HostId, address: string | undefined): boolean {
        const { bootstrap } = this;
        if (bootstrap.every(member => member.host !== undefined)) {
            return host === bootstrap.map(member => member.host!).sort()[0];
        }
        return address === bootstrap.map(member => formatAddress(member.address)).sort()[0];
    }
}

function isSame(one: Address, other: Address): boolean {
    return formatAddress(one) === formatAddress(other);
}
