import { PoolOwnerTable } from "../../dispatch/index.js";
import { HostId, PoolId } from "../../ids/index.js";
import { Announcement } from "../../protocol/index.js";
import { AnnouncementRecord, UpstreamRegistry } from "../../upstream/index.js";
import { PeerRouter } from "../../wire/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";

const SPREAD_METHOD = "upstream.spread";

/**
 * Forwards upstreams' announcements to the owner of each pool's queue and to the host that would own it next, so that a new
 * owner knows its upstreams immediately. No other host needs them, so traffic does not grow with hosts × upstreams.
 *
 * @example
 * serveAnnouncements(announcement => forwarder.accept(announcement));
 */
export class AnnouncementForwarder {
    constructor(
        private readonly registry: UpstreamRegistry,
        private readonly directory: PeerDirectory,
        private readonly owners: PoolOwnerTable,
        private readonly self: HostId,
    ) {}

    /** Registers the method that accepts announcements forwarded by other entries. */
    addTo(router: PeerRouter): void {
        router.add(SPREAD_METHOD, body => {
            this.registry.merge(body as AnnouncementRecord[]);
        });
    }

    /** Applies an announcement received from the upstream itself, and forwards it if the registry accepts it. */
    accept(announcement: Announcement): void {
        if (!this.registry.announce(announcement)) return;
        const records: AnnouncementRecord[] = [{ announcement, ageMs: 0 }];
        for (const host of this.listTargets(announcement)) {
            if (host !== this.self) this.directory.linkTo(host)?.notify(SPREAD_METHOD, records);
        }
    }

    private listTargets(announcement: Announcement): Set<HostId> {
        const hosts = this.directory.queueHosts();
        const targets = new Set<HostId>();
        for (const pool of announcement.pools) {
            for (const host of this.owners.rank(pool as PoolId, hosts).slice(0, 2)) targets.add(host);
        }
        return targets;
    }
}
