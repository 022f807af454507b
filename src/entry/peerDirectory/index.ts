import { EntryView } from "../../control/index.js";
import { HostId, ZoneId } from "../../ids/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Clock, Network, parseAddress, Random } from "../../ports/index.js";
import { RelayDirectory, RelayHost } from "../../relay/index.js";
import { PeerIdentity, PeerLink, PeerRouter, PeerTiming } from "../../wire/index.js";
import { ControlAccess } from "../controlAccess/index.js";

/** Options of `PeerDirectory`. */
export interface PeerDirectoryOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly random: Random;
    readonly self: PeerIdentity;
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
    readonly control: ControlAccess;
    /** Links to the control processes, whose hosts may own queues. */
    readonly controlLinks: readonly PeerLink[];
    readonly lifecycle: Lifecycle;
    /** Whether this process only owns queues and serves no callers. */
    readonly ownsQueues?: boolean;
}

/** A link, and the address that it connects to. */
interface OpenLink {
    readonly address: string;
    readonly link: PeerLink;
    readonly lifecycle: Lifecycle;
}

/** Lists of hosts derived from the entries that the holder reports. */
interface PeerLists {
    readonly entries: readonly EntryView[];
    /** The hosts of control processes to which a link was open. */
    readonly reachedControls: string;
    /** Monotonic time at which the next suspicion ends and the lists must be rebuilt, in milliseconds. */
    readonly validUntil: number;
    /** All entries, including draining and suspected ones. */
    readonly byHost: ReadonlyMap<HostId, EntryView>;
    readonly queueHosts: readonly HostId[];
    readonly callerHosts: readonly HostId[];
    /** The other entries that send requests to upstreams on behalf of hosts. */
    readonly relays: readonly RelayHost[];
    /** IP addresses of all entries. */
    readonly ips: ReadonlySet<string>;
}

const NO_PEERS: PeerLists = {
    entries: [],
    reachedControls: "",
    validUntil: Number.NEGATIVE_INFINITY,
    byHost: new Map(),
    queueHosts: [],
    callerHosts: [],
    relays: [],
    ips: new Set(),
};

/** Time for which a peer that could not be reached is excluded from choices, in milliseconds. */
const SUSPICION_MS = 2_000;

/**
 * Lists the other entries and provides links to them. Links open on first use, so that a host of a large fleet keeps few open.
 *
 * @example
 * directory.linkTo(owner)?.call("dispatch.submit", ticket, 1_000);
 */
export class PeerDirectory extends RelayDirectory {
    private readonly links = new Map<HostId, OpenLink>();
    /** Monotonic time at which the suspicion of each host ends, in milliseconds. */
    private readonly suspects = new Map<HostId, number>();
    private peers = NO_PEERS;

    constructor(private readonly options: PeerDirectoryOptions) {
        super();
    }

    listRelays(): readonly RelayHost[] {
        return this.getPeers().relays;
    }

    isMember(ip: string): boolean {
        return this.getPeers().ips.has(ip);
    }

    /**
     * The hosts among which the owners of queues are chosen: the dedicated queue hosts, or the entries that serve callers where no queue host
     * exists or can be reached.
     */
    queueHosts(): readonly HostId[] {
        return this.getPeers().queueHosts;
    }

    /**
     * Whether this host is meant to own queues: it is a dedicated queue host, or no such host exists. An entry that owns a queue only because no
     * queue host responds is not, since other entries may be deciding on their own at the same time.
     */
    get isDesignatedOwner(): boolean {
        const { ownsQueues = false, control } = this.options;
        return ownsQueues || !control.entries().some(entry => entry.ownsQueues);
    }

    /** The entries that serve callers, including this one if it does. */
    callerHosts(): readonly HostId[] {
        return this.getPeers().callerHosts;
    }

    /**
     * Excludes a host that could not be reached from choices for `SUSPICION_MS`.
     *
     * @returns Whether it was not excluded before.
     */
    suspect(host: HostId): boolean {
        const now = this.options.clock.monotonic();
        const isNew = (this.suspects.get(host) ?? Number.NEGATIVE_INFINITY) <= now;
        this.suspects.set(host, now + SUSPICION_MS);
        this.peers = NO_PEERS;
        return isNew;
    }

    /**
     * Returns the link to a host, or undefined when the holder does not list the host. A dedicated queue host is reached over the link to its
     * control process, so that a fleet of many entries keeps half as many connections alive.
     */
    linkTo(host: HostId): PeerLink | undefined {
        const entry = this.getPeers().byHost.get(host);
        if (entry?.ownsQueues) return this.options.controlLinks.find(link => link.peer?.host === host);
        if (!entry) {
            this.closeLink(host);
            return undefined;
        }
        const open = this.links.get(host);
        if (open?.address === entry.peerAddress) return open.link;
        this.closeLink(host);
        return this.openLink(host, entry);
    }

    /** Returns the current lists. They are read for each ticket, so they are rebuilt only when the entries change or a suspicion ends. */
    private getPeers(): PeerLists {
        const { control, clock } = this.options;
        const now = clock.monotonic();
        const entries = control.entries();
        const reachedControls = this.listReachedControls().join(" ");
        const { peers } = this;
        const isValid = peers.entries === entries && peers.reachedControls === reachedControls
            && now < peers.validUntil;
        if (!isValid) this.peers = this.buildLists(entries, reachedControls, now);
        return this.peers;
    }

    private listReachedControls(): HostId[] {
        return this.options.controlLinks.flatMap(({ isOpen, peer }) => isOpen && peer ? [peer.host] : []);
    }

    private buildLists(entries: readonly EntryView[], reachedControls: string, now: number): PeerLists {
        const { self, ownsQueues = false } = this.options;
        for (const [host, until] of this.suspects) {
            if (until <= now) this.suspects.delete(host);
        }
        const reached = new Set<string>(this.listReachedControls());
        // A lost owner that counted as a candidate again after some time would take the queue from its successor for a moment, which would
        // count all running requests as ended.
        const isReached = ({ host, ownsQueues: isDedicated }: EntryView): boolean => !isDedicated || reached.has(host);
        const usable = entries.filter(entry =>
            !entry.draining && !this.suspects.has(entry.host as HostId) && isReached(entry)
        );
        const hostsOf = (dedicated: boolean): HostId[] => {
            const hosts = usable.filter(entry => (entry.ownsQueues ?? false) === dedicated).map(({ host }) =>
                host as HostId
            );
            return ownsQueues !== dedicated || hosts.includes(self.host) ? hosts : [...hosts, self.host];
        };
        const validUntil = Math.min(Number.POSITIVE_INFINITY, ...this.suspects.values());
        const callerHosts = hostsOf(false);
        const owners = hostsOf(true);
        // Where a host is listed with two incarnations, the first in the holder's order is kept.
        const byHost = new Map([...entries].reverse().map(entry => [entry.host as HostId, entry]));
        const queueHosts = owners.length > 0 ? owners : callerHosts;
        const ips = new Set(entries.flatMap(entry => parseAddress(entry.peerAddress)?.host ?? []));
        return {
            entries,
            reachedControls,
            validUntil,
            byHost,
            callerHosts,
            queueHosts,
            ips,
            relays: toRelays(usable, self.host),
        };
    }

    private openLink(host: HostId, entry: EntryView): PeerLink | undefined {
        const address = parseAddress(entry.peerAddress);
        if (!address) return undefined;
        const lifecycle = this.options.lifecycle.child();
        const link = new PeerLink({ ...this.options, address });
        lifecycle.run(signal => link.run(signal), () => undefined);
        this.links.set(host, { address: entry.peerAddress, link, lifecycle });
        return link;
    }

    private closeLink(host: HostId): void {
        const open = this.links.get(host);
        if (!open) return;
        this.links.delete(host);
        void open.lifecycle.close();
    }
}

function toRelays(entries: readonly EntryView[], self: HostId): RelayHost[] {
    return entries.flatMap(({ host, zone, relayAddress }) => {
        const address = relayAddress === undefined ? undefined : parseAddress(relayAddress);
        return address && host !== self ? [{ host: host as HostId, zone: zone as ZoneId, address }] : [];
    });
}
