import { Lifecycle } from "../../lifecycle/index.js";
import { Address, Clock, formatAddress, Network, parseAddress, Random } from "../../ports/index.js";
import { PeerChannel, PeerIdentity, PeerLink, PeerRouter, PeerTiming } from "../../wire/index.js";
import { MemberList, MEMBERS_METHOD } from "../memberList/index.js";

/** What the set is made of. */
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
 * Links to the control processes, as far as they are known: those that settings name, and those that the control log has.
 *
 * Guards against a process that knows only control processes which do not lead: it asks each one that it reaches for the list of all.
 * Guards against a process that loses all control processes: those of its settings may be replaced one by one while it runs, so
 * it follows the log's list; and that list may be out of date after a long cut, so it keeps those of its settings too.
 *
 * @example
 * const links = new ControlLinkSet(options);
 * links.setSeeds(settings.seeds);
 * links.setMembers(reply.controls);
 */
export class ControlLinkSet {
    /** The links in use; the array stays the same while its content changes. */
    readonly list: PeerLink[] = [];
    private readonly open = new Map<string, { readonly link: PeerLink; readonly lifecycle: Lifecycle; }>();
    private seeds: readonly string[] = [];
    private members: readonly string[] = [];

    constructor(private readonly options: ControlLinkSetOptions) {}

    setSeeds(seeds: readonly Address[]): void {
        this.seeds = seeds.map(formatAddress);
        this.match();
    }

    /** @param members - `IP:port` of each. */
    setMembers(members: readonly string[]): void {
        if (members.length === 0) return;
        this.members = members;
        this.match();
    }

    private match(): void {
        const { ownAddress } = this.options;
        const wanted = new Set([...this.members, ...this.seeds]);
        if (ownAddress) wanted.delete(formatAddress(ownAddress));
        for (const [address, { link, lifecycle }] of [...this.open]) {
            if (wanted.has(address)) continue;
            this.open.delete(address);
            this.list.splice(this.list.indexOf(link), 1);
            void lifecycle.close();
        }
        for (const address of wanted) {
            if (!this.open.has(address)) this.add(address);
        }
    }

    private add(name: string): void {
        const address = parseAddress(name);
        if (!address) return;
        const lifecycle = this.options.lifecycle.child();
        const onOpen = (channel: PeerChannel): void => {
            void this.askMembers(channel);
            this.options.onOpen?.(channel);
        };
        const link = new PeerLink({ ...this.options, address, onOpen });
        lifecycle.run(signal => link.run(signal), () => undefined);
        this.open.set(name, { link, lifecycle });
        this.list.push(link);
    }

    private async askMembers(channel: PeerChannel): Promise<void> {
        const answer = await channel.call(MEMBERS_METHOD, {}, ANSWER_MS);
        answer.ifRight(list => this.learn((list as MemberList).members));
    }

    /** What one process says may be older than what is known: it adds, and only the leader's list takes away. */
    private learn(members: readonly string[]): void {
        this.setMembers([...new Set([...this.members, ...members])]);
    }
}

const ANSWER_MS = 1_000;
