import { EntryView } from "../../control/index.js";
import { HostId } from "../../ids/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Clock, Network, parseAddress, Random } from "../../ports/index.js";
import { PeerIdentity, PeerLink, PeerRouter, PeerTiming } from "../../wire/index.js";
import { ControlAccess } from "../controlAccess/index.js";

/** What a directory is made of. */
export interface PeerDirectoryOptions {
    readonly network: Network;
    readonly clock: Clock;
    readonly random: Random;
    readonly self: PeerIdentity;
    readonly router: PeerRouter;
    readonly timing: PeerTiming;
    readonly control: ControlAccess;
    /** To the control processes, whose hosts may own queues. */
    readonly controlLinks: readonly PeerLink[];
    readonly lifecycle: Lifecycle;
    /** This process is there to own queues, and serves no callers. */
    readonly ownsQueues?: boolean;
}

interface OpenLink {
    readonly address: string;
    readonly link: PeerLink;
    readonly lifecycle: Lifecycle;
}

interface CandidateList {
    readonly entries: readonly EntryView[];
    /** Monotonic time at which it is out of date, in milliseconds. */
    readonly until: number;
    readonly byHost: ReadonlyMap<HostId, EntryView>;
    readonly queueHosts: readonly HostId[];
    readonly callerHosts: readonly HostId[];
}

const NO_CANDIDATES: CandidateList = {
    entries: [],
    until: Number.NEGATIVE_INFINITY,
    byHost: new Map(),
    queueHosts: [],
    callerHosts: [],
};

/** A peer to which no call got through is left out of choices for this long. */
const SUSPECT_MS = 2_000;

/**
 * The other entries, and a link to each one that is needed. Links open on first use, so that a host of a large fleet keeps few.
 *
 * @example
 * directory.linkTo(owner)?.call("dispatch.submit", ticket, 1_000);
 */
export class PeerDirectory {
    private readonly links = new Map<HostId, OpenLink>();
    private readonly suspects = new Map<HostId, number>();
    private known = NO_CANDIDATES;

    constructor(private readonly options: PeerDirectoryOptions) {}

    /**
     * The hosts among which the owners of queues are chosen: those that are there for it, or, where there are none or none answers, the
     * entries that serve callers.
     */
    queueHosts(): readonly HostId[] {
        return this.list().queueHosts;
    }

    /**
     * Whether this host is of the kind that owns queues: it is there for it, or no host is. An entry that owns one only because no owner
     * answers is not; other entries may decide for themselves at the same time.
     */
    get isOwningKind(): boolean {
        const { ownsQueues = false, control } = this.options;
        return ownsQueues || !control.entries().some(entry => entry.ownsQueues);
    }

    /** The entries that serve callers, this one among them if it does. */
    callerHosts(): readonly HostId[] {
        return this.list().callerHosts;
    }

    /** Leaves a host out of choices for a while. */
    suspect(host: HostId): void {
        this.suspects.set(host, this.options.clock.monotonic() + SUSPECT_MS);
        this.known = NO_CANDIDATES;
    }

    /**
     * The link to a host, or undefined when the holder does not list it. One that owns queues is reached over the link to its control process:
     * a fleet of many entries then keeps half as many connections alive.
     */
    linkTo(host: HostId): PeerLink | undefined {
        const entry = this.list().byHost.get(host);
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

    /** Made anew only when the entries have changed or a suspicion ends: it is asked for with each ticket. */
    private list(): CandidateList {
        const { control, clock } = this.options;
        const now = clock.monotonic();
        const entries = control.entries();
        if (this.known.entries !== entries || now >= this.known.until) this.known = this.listCandidates(entries, now);
        return this.known;
    }

    private listCandidates(entries: readonly EntryView[], now: number): CandidateList {
        const { self, ownsQueues = false } = this.options;
        for (const [host, until] of this.suspects) {
            if (until <= now) this.suspects.delete(host);
        }
        const able = entries.filter(({ host, draining }) => !draining && !this.suspects.has(host as HostId));
        const hostsOf = (kind: boolean): HostId[] => {
            const hosts = able.filter(entry => (entry.ownsQueues ?? false) === kind).map(({ host }) => host as HostId);
            return ownsQueues !== kind || hosts.includes(self.host) ? hosts : [...hosts, self.host];
        };
        const until = Math.min(Number.POSITIVE_INFINITY, ...this.suspects.values());
        const callerHosts = hostsOf(false);
        const owners = hostsOf(true);
        // Of two runs of a host the first stays, as the holder lists them.
        const byHost = new Map([...entries].reverse().map(entry => [entry.host as HostId, entry]));
        return { entries, until, byHost, callerHosts, queueHosts: owners.length > 0 ? owners : callerHosts };
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
