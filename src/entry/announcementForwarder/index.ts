import { DepartureNotice, readRecords } from "../../discovery/index.js";
import { PoolOwnerTable } from "../../dispatch/index.js";
import { HostId, PoolId } from "../../ids/index.js";
import { RejectionLog } from "../../logging/index.js";
import { Announcement } from "../../protocol/index.js";
import { AnnouncementRecord, UpstreamRegistry } from "../../upstream/index.js";
import { PeerRouter } from "../../wire/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";

const SPREAD_METHOD = "upstream.spread";
const DEPARTURE_METHOD = "upstream.departure";

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
        private readonly rejections: RejectionLog,
    ) {}

    /** Registers the method that accepts announcements forwarded by other entries. */
    addTo(router: PeerRouter): void {
        router.add(SPREAD_METHOD, body => {
            const { entries, rejected, problem = "" } = readRecords(body);
            if (rejected > 0) this.rejections.record("forwarded-announcements", rejected, problem);
            this.registry.merge(entries);
        });
        router.add(DEPARTURE_METHOD, body => {
            const { id, incarnation } = body as DepartureNotice;
            this.registry.markLeaving(id, incarnation);
        });
    }

    /** Applies an announcement received from the upstream itself, and forwards it if the registry accepts it. */
    accept(announcement: Announcement): void {
        if (!this.registry.announce(announcement)) return;
        const records: AnnouncementRecord[] = [{ announcement, ageMs: 0 }];
        this.notifyOwners(announcement.pools as PoolId[], SPREAD_METHOD, records);
    }

    /** Forwards the departure of an upstream that it has stated in an answer to this host. */
    forwardDeparture(pool: PoolId, departure: DepartureNotice): void {
        this.notifyOwners([pool], DEPARTURE_METHOD, departure);
    }

    private notifyOwners(pools: readonly PoolId[], method: string, body: unknown): void {
        const hosts = this.directory.queueHosts();
        const targets = new Set(pools.flatMap(pool => this.owners.rank(pool, hosts).slice(0, 2)));
        for (const host of targets) {
            if (host !== this.self) this.directory.linkTo(host)?.notify(method, body);
        }
    }
}
