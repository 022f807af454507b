import { Lifecycle } from "../../lifecycle/index.js";
import { Address, Clock, formatAddress, Network, parseAddress, Random } from "../../ports/index.js";
import { PeerChannel, PeerIdentity, PeerLink, PeerRouter, PeerTiming } from "../../wire/index.js";
import { MemberList, MEMBERS_METHOD } from "../memberList/index.js";

/** Options of `ControlLinkSet`. */
export interface ControlLinkSetOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly random: Random;
    readonly self: PeerIdentity;
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
    readonly lifecycle: Lifecycle;
    /** This process's own address, to which no link is made. */
    readonly ownAddress?: Address;
    /** Called each time a channel to a control process has opened. */
    readonly onOpen?: (channel: PeerChannel) => void;
}

/**
 * Links to all known control processes: those listed in the settings and the members of the control log.
 *
 * A process that knows only control processes that don't hold the lease would never reach the holder, so it queries each one that it
 * reaches for the list of all. A process must also not lose all control processes: those in its settings may be replaced one by one while
 * it runs, so it follows the log's list; that list may be outdated after a long partition, so it keeps those in its settings too.
 *
 * @example
 * const links = new ControlLinkSet(options);
 * links.setSeeds(settings.seeds);
 * links.setMembers(reply.controls);
 */
export class ControlLinkSet {
    /** The current links; always the same array, modified in place. */
    readonly list: PeerLink[] = [];
    private readonly linksByAddress = new Map<string, { readonly link: PeerLink; readonly lifecycle: Lifecycle; }>();
    private seeds: readonly string[] = [];
    private members: readonly string[] = [];

    constructor(private readonly options: ControlLinkSetOptions) {}

    /** Replaces the addresses taken from the settings. */
    setSeeds(seeds: readonly Address[]): void {
        this.seeds = seeds.map(formatAddress);
        this.updateLinks();
    }

    /**
     * Replaces the addresses of the control log's members; an empty list is ignored.
     *
     * @param members - `IP:port` of each.
     */
    setMembers(members: readonly string[]): void {
        if (members.length === 0) return;
        this.members = members;
        this.updateLinks();
    }

    private updateLinks(): void {
        const { ownAddress } = this.options;
        const wantedAddresses = new Set([...this.members, ...this.seeds]);
        if (ownAddress) wantedAddresses.delete(formatAddress(ownAddress));
        for (const [address, { link, lifecycle }] of [...this.linksByAddress]) {
            if (wantedAddresses.has(address)) continue;
            this.linksByAddress.delete(address);
            this.list.splice(this.list.indexOf(link), 1);
            void lifecycle.close();
        }
        for (const address of wantedAddresses) {
            if (!this.linksByAddress.has(address)) this.addLink(address);
        }
    }

    private addLink(endpoint: string): void {
        const address = parseAddress(endpoint);
        if (!address) return;
        const lifecycle = this.options.lifecycle.child();
        const onOpen = (channel: PeerChannel): void => {
            void this.queryMembers(channel);
            this.options.onOpen?.(channel);
        };
        const link = new PeerLink({ ...this.options, address, onOpen });
        lifecycle.run(signal => link.run(signal), () => undefined);
        this.linksByAddress.set(endpoint, { link, lifecycle });
        this.list.push(link);
    }

    private async queryMembers(channel: PeerChannel): Promise<void> {
        const answer = await channel.call(MEMBERS_METHOD, {}, QUERY_TIMEOUT_MS);
        answer.ifRight(list => this.addMembers((list as MemberList).members));
    }

    /** Adds members without removing any, since one process's list may be outdated. Only the leader's list removes members. */
    private addMembers(members: readonly string[]): void {
        this.setMembers([...new Set([...this.members, ...members])]);
    }
}

const QUERY_TIMEOUT_MS = 1_000;
