import { PoolOwnerTable } from "../../dispatch/index.js";
import { HostId, PoolId } from "../../ids/index.js";
import { Announcement } from "../../protocol/index.js";
import { SpreadRecord, UpstreamRegistry } from "../../upstream/index.js";
import { PeerRouter } from "../../wire/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";

const SPREAD_METHOD = "upstream.spread";

/**
 * Passes announcements on to the owner of each pool's queue and to the host that would own it next, so that a new owner
 * knows its upstreams at once. No other host needs them: nothing grows with hosts × upstreams.
 *
 * @example
 * serveAnnouncements(announcement => spreader.take(announcement));
 */
export class AnnouncementSpreader {
    constructor(
        private readonly registry: UpstreamRegistry,
        private readonly directory: PeerDirectory,
        private readonly owners: PoolOwnerTable,
        private readonly self: HostId,
    ) {}

    /** Takes what other entries pass on. */
    addTo(router: PeerRouter): void {
        router.add(SPREAD_METHOD, body => {
            this.registry.merge(body as SpreadRecord[]);
        });
    }

    /** Takes an announcement from the upstream itself. */
    take(announcement: Announcement): void {
        if (!this.registry.announce(announcement)) return;
        const records: SpreadRecord[] = [{ announcement, ageMs: 0 }];
        for (const host of this.targets(announcement)) {
            if (host !== this.self) this.directory.linkTo(host)?.notify(SPREAD_METHOD, records);
        }
    }

    private targets(announcement: Announcement): Set<HostId> {
        const hosts = this.directory.queueHosts();
        const targets = new Set<HostId>();
        for (const pool of announcement.pools) {
            for (const host of this.owners.rank(pool as PoolId, hosts).slice(0, 2)) targets.add(host);
        }
        return targets;
    }
}
