import { ClusterId, HostId, LogIndex } from "../../ids/index.js";
import { Address, Random } from "../../ports/index.js";
import { StoreError } from "../../store/index.js";
import { Configuration, Member } from "../member/index.js";
import { Method, StatusReply, StatusRequest } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** One host of the settings' list of control hosts. */
export interface BootstrapMember {
    readonly host: HostId;
    readonly address: Address;
}

const CLUSTER_ID_BYTES = 8;
/** A host without a history says so to a founder, and for this long joins no cluster founded by another folder. */
const PLEDGE_MS = 30_000;
/** A founder acts only on answers younger than this; far less than the pledge, so that no drift matters. */
const ROUND_MS = 5_000;

const LOG_EVERY_MS = 10_000;

interface Pledge {
    readonly to: StatusRequest;
    readonly until: number;
}

/**
 * Ties an empty data folder to a cluster: the first hosts found one, later ones find it.
 *
 * Guards against a host that lost its disk: it looks as a new host does, and would found a second cluster, or vote again in
 * an election in which its lost folder had voted. Shown by entries that were accepted and are gone. The guard:
 * - The folder's store id is part of the voter's identity. A new folder has a new one, which is in no members' list, so that
 *   nobody asks it for a vote, and a vote asked of the lost folder is refused.
 * - Only one host, the first by name, founds a cluster, and only after each host of the list, not a majority, has
 *   said that it has no history. A host with a history never says so, and an unreachable one says nothing: the founder waits.
 * - A host that has said so pledges itself to the asking folder, and takes no founding from another one. A founder that loses
 *   its disk in the middle can thus not leave two foundings behind that both find followers.
 * - A folder belongs to one cluster for ever; messages carry the cluster's id.
 *
 * @example
 * await founding.run(signal);
 */
export class Founding {
    private pledge: Pledge | undefined;
    private isJoining = false;
    private nextLogAt: number;

    constructor(
        private readonly replica: Replica,
        private readonly links: PeerLinks,
        private readonly random: Random,
        private readonly self: BootstrapMember,
        private readonly bootstrap: readonly BootstrapMember[],
    ) {
        this.nextLogAt = replica.clock.monotonic() + LOG_EVERY_MS;
    }

    /** Settles once the folder belongs to a cluster. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, timing } = this.replica;
        for (const { address } of this.others()) this.links.to(address);
        while (!signal.aborted && !this.replica.cluster) {
            await this.tryOnce(signal);
            if (!this.replica.cluster) await clock.sleep(timing.heartbeatMs / 4, signal);
        }
    }

    /**
     * Answers a host that has no history.
     *
     * @throws Error while this folder is about to join a cluster, so that nobody counts on its having none.
     */
    answerStatus(req: StatusRequest): StatusReply {
        const { cluster, store, storeId, host, clock } = this.replica;
        if (cluster) return { host, storeId, cluster, founding: store.identity.founding as Configuration };
        if (this.isJoining) throw new Error("about to join a cluster");
        if (req.host === this.founder()) this.pledge = { to: req, until: clock.monotonic() + PLEDGE_MS };
        return { host, storeId };
    }

    private async tryOnce(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        const startedAt = replica.clock.monotonic();
        const replies = await this.askOthers();
        if (signal.aborted) return;
        const found = replies.find(reply => reply.cluster && this.isPledgedTo(reply));
        if (found) {
            await this.join(found.cluster!, found.founding!);
            return;
        }
        const areAllNew = replies.length === this.others().length && replies.every(reply => !reply.cluster);
        if (!areAllNew) this.logWaiting(replies);
        const isFresh = replica.clock.monotonic() - startedAt < ROUND_MS;
        if (!areAllNew || !isFresh || this.founder() !== this.self.host) return;
        const cluster = Buffer.from(this.random.bytes(CLUSTER_ID_BYTES)).toString("hex") as ClusterId;
        await this.join(cluster, this.foundingConfiguration(replies));
        replica.logger.info("cluster-founded", { cluster, members: this.bootstrap.length });
    }

    /** Without this line an operator sees a host that does nothing, and not which other host it waits for. */
    private logWaiting(replies: readonly StatusReply[]): void {
        const { clock, logger } = this.replica;
        if (clock.monotonic() < this.nextLogAt) return;
        this.nextLogAt = clock.monotonic() + LOG_EVERY_MS;
        const missing = this.others().filter(({ host }) => !replies.some(reply => reply.host === host));
        logger.warn("founding-waits", { missing: missing.map(({ host }) => host).join(" ") });
    }

    /** A full disk leaves the folder as it was, and the next round tries again. */
    private async join(cluster: ClusterId, founding: Configuration): Promise<void> {
        this.isJoining = true;
        try {
            await this.replica.joinCluster(cluster, founding);
        }
        catch (err) {
            this.replica.takeStoreError(err as StoreError);
        }
        this.isJoining = false;
    }

    private async askOthers(): Promise<StatusReply[]> {
        const { storeId, host, timing } = this.replica;
        const request: StatusRequest = { host, storeId };
        const replies = await Promise.all(
            this.others().map(async other => {
                const reply = await this.links.call<StatusReply>(other.address, Method.Status, request, timing.leaseMs);
                return reply.toMaybe().filter(status => status.host === other.host).extract();
            }),
        );
        return replies.filter(reply => reply !== undefined);
    }

    /** True when this folder may join the cluster that a reply tells of. */
    private isPledgedTo(reply: StatusReply): boolean {
        const { pledge } = this;
        if (!pledge || this.replica.clock.monotonic() >= pledge.until) return true;
        const founder = reply.founding!.members.find(member => member.host === pledge.to.host);
        return founder?.storeId === pledge.to.storeId || reply.storeId === pledge.to.storeId;
    }

    private foundingConfiguration(replies: readonly StatusReply[]): Configuration {
        const members = this.bootstrap.map(({ host, address }): Member => {
            const reply = replies.find(status => status.host === host);
            const storeId = reply?.storeId ?? this.replica.storeId;
            return { host, storeId, address, role: "voter", since: 0 as LogIndex };
        });
        return { members, retired: [] };
    }

    private others(): readonly BootstrapMember[] {
        return this.bootstrap.filter(({ host }) => host !== this.self.host);
    }

    private founder(): HostId {
        return this.bootstrap.map(({ host }) => host).sort()[0];
    }
}
