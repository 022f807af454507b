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
    readonly lifecycle: Lifecycle;
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
    readonly hosts: readonly HostId[];
}

const NO_CANDIDATES: CandidateList = { entries: [], until: Number.NEGATIVE_INFINITY, hosts: [] };

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

    /** The entries that may be chosen for shared work, this one among them. */
    candidates(): readonly HostId[] {
        const { control, clock } = this.options;
        const now = clock.monotonic();
        const entries = control.entries();
        if (this.known.entries !== entries || now >= this.known.until) this.known = this.listCandidates(entries, now);
        return this.known.hosts;
    }

    /** Leaves a host out of choices for a while. */
    suspect(host: HostId): void {
        this.suspects.set(host, this.options.clock.monotonic() + SUSPECT_MS);
        this.known = NO_CANDIDATES;
    }

    /** The link to an entry, or undefined when the holder does not list it. */
    linkTo(host: HostId): PeerLink | undefined {
        const entry = this.options.control.entries().find(view => view.host === host);
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
    private listCandidates(entries: readonly EntryView[], now: number): CandidateList {
        const { self } = this.options;
        for (const [host, until] of this.suspects) {
            if (until <= now) this.suspects.delete(host);
        }
        const hosts = entries
            .filter(entry => !entry.draining && !this.suspects.has(entry.host as HostId))
            .map(entry => entry.host as HostId);
        const until = Math.min(Number.POSITIVE_INFINITY, ...this.suspects.values());
        return { entries, until, hosts: hosts.includes(self.host) ? hosts : [...hosts, self.host] };
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
