import { ClusterId, HostId, LogIndex } from "../../ids/index.js";
import { Address, formatAddress, Random } from "../../ports/index.js";
import { StoreError } from "../../store/index.js";
import { Configuration, Member } from "../member/index.js";
import { Method, StatusReply, StatusRequest } from "../message/index.js";
import { PeerLinks } from "../peerLinks/index.js";
import { Replica } from "../replica/index.js";

/** One host of the list from which a cluster is founded. */
export interface BootstrapMember {
    /** Undefined where only addresses are known (seeds): the host names itself in its answer. */
    readonly host?: HostId;
    readonly address: Address;
}

/** The replica that may found a cluster. */
export interface FoundingSelf {
    readonly host: HostId;
    readonly address: Address;
}

/** A status answer, and the address that it was asked at. */
interface HeardStatus {
    readonly address: Address;
    readonly reply: StatusReply;
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
 * - Only one host of the list, the first by name (by address where names are not known), founds a cluster, and only after each
 *   host of the list, not a majority, has said that it has no history. A host with a history never says so, and an unreachable one says nothing: the founder waits.
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
        private readonly self: FoundingSelf,
        private readonly bootstrap: readonly BootstrapMember[],
        /** False: this host joins only, for instance since it is known to have had a history and lost it. */
        private readonly mayFound = true,
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
        if (this.isFounder(req.host, req.address)) this.pledge = { to: req, until: clock.monotonic() + PLEDGE_MS };
        return { host, storeId };
    }

    private async tryOnce(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        const startedAt = replica.clock.monotonic();
        const heard = await this.askOthers();
        if (signal.aborted) return;
        const found = heard.find(({ reply }) => reply.cluster && this.isPledgedTo(reply))?.reply;
        if (found) {
            await this.join(found.cluster!, found.founding!);
            return;
        }
        const areAllNew = heard.length === this.others().length && heard.every(({ reply }) => !reply.cluster);
        if (!areAllNew) this.logWaiting(heard);
        const isFresh = replica.clock.monotonic() - startedAt < ROUND_MS;
        const isFounder = this.mayFound && this.isFounder(this.self.host, formatAddress(this.self.address));
        if (!areAllNew || !isFresh || !isFounder) return;
        const cluster = Buffer.from(this.random.bytes(CLUSTER_ID_BYTES)).toString("hex") as ClusterId;
        await this.join(cluster, this.foundingConfiguration(heard));
        replica.logger.info("cluster-founded", { cluster, members: this.bootstrap.length });
    }

    /** Without this line an operator sees a host that does nothing, and not which other host it waits for. */
    private logWaiting(heard: readonly HeardStatus[]): void {
        const { clock, logger } = this.replica;
        if (clock.monotonic() < this.nextLogAt) return;
        this.nextLogAt = clock.monotonic() + LOG_EVERY_MS;
        const missing = this.others().filter(({ address }) => !heard.some(status => isSame(status.address, address)));
        const names = missing.map(({ host, address }) => host ?? formatAddress(address));
        logger.warn("founding-waits", { missing: names.join(" ") });
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

    private async askOthers(): Promise<HeardStatus[]> {
        const { storeId, host, timing } = this.replica;
        const request: StatusRequest = { host, storeId, address: formatAddress(this.self.address) };
        const asked = await Promise.all(
            this.others().map(async ({ host: expected, address }) => {
                const answer = await this.links.call<StatusReply>(address, Method.Status, request, timing.leaseMs);
                const reply = answer.toMaybe().extract();
                if (!reply || (expected !== undefined && reply.host !== expected)) return undefined;
                return { address, reply };
            }),
        );
        return asked.filter(status => status !== undefined);
    }

    /** True when this folder may join the cluster that a reply tells of. */
    private isPledgedTo(reply: StatusReply): boolean {
        const { pledge } = this;
        if (!pledge || this.replica.clock.monotonic() >= pledge.until) return true;
        const founder = reply.founding!.members.find(member => member.host === pledge.to.host);
        return founder?.storeId === pledge.to.storeId || reply.storeId === pledge.to.storeId;
    }

    private foundingConfiguration(heard: readonly HeardStatus[]): Configuration {
        const members = this.bootstrap.map(({ address }): Member => {
            const reply = heard.find(status => isSame(status.address, address))?.reply;
            const { host, storeId } = reply ?? this.replica;
            return { host, storeId, address, role: "voter", since: 0 as LogIndex };
        });
        return { members, retired: [] };
    }

    private others(): readonly BootstrapMember[] {
        return this.bootstrap.filter(({ address }) => !isSame(address, this.self.address));
    }

    private isFounder(host: HostId, address: string | undefined): boolean {
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
