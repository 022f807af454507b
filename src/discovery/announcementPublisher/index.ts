import { UpstreamId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { Announcement, LoadReport } from "../../protocol/index.js";
import { AnnouncementRecord, ChangeScope, UpstreamRegistry } from "../../upstream/index.js";
import { EncodedBody, PeerChannel, PeerRouter } from "../../wire/index.js";
import {
    AnnouncementUpdate,
    DEPARTURE_METHOD,
    DepartureNotice,
    ExpiredUpstream,
    SUBSCRIBE_METHOD,
    SubscribeRequest,
    UPDATE_METHOD,
    UpdateLevel,
} from "../announcementUpdate/index.js";

/** Interval at which changes are sent: it delays work for a new upstream slightly, and many announcements share a message. */
const SEND_INTERVAL_MS = 100;
/** Maximum interval between updates to a subscriber: they carry the publisher's wall time and confirm that its upstreams are alive. */
const KEEPALIVE_INTERVAL_MS = 1_000;
/** Timeout for a subscriber's confirmation that an upstream leaves; well below the upstream's own timeout. */
const CONFIRM_TIMEOUT_MS = 300;
/** Load in records at level `membership`: the actual load would soon be outdated, and no update would correct it. */
const NO_LOAD: LoadReport = { running: 0, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };

/** Scope of the registry's changes that subscribers of each level get. */
const SCOPE_BY_LEVEL: Readonly<Record<UpdateLevel, ChangeScope>> = { membership: "membership", all: "heard" };

/** Options of `AnnouncementPublisher`. */
export interface AnnouncementPublisherOptions {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    /** Router on which the subscribe method is registered. */
    readonly router: PeerRouter;
}

interface Subscription {
    readonly level: UpdateLevel;
    /** Monotonic time of the last update, in milliseconds. */
    sentAt: number;
}

/**
 * Receives announcements from upstreams and publishes them to its subscribers. An update is built and encoded once for all
 * subscribers of a level, and most subscribers get only changes, not each announcement, so that work and traffic don't grow with
 * subscribers × announcements.
 *
 * Prevents an upstream that leaves from getting further work: if this process confirmed the announcement and were lost right
 * after, no entry would know of it. So the announcement is confirmed only once a subscriber has confirmed it, and subscribers
 * relay announcements of leaving upstreams, whichever process they come from.
 *
 * @example
 * const publisher = new AnnouncementPublisher({ clock, registry, router });
 * const isConfirmed = await publisher.receive(announcement);
 */
export class AnnouncementPublisher {
    private readonly subscribers = new Map<PeerChannel, Subscription>();
    /** Upstreams that were reported to subscribers as ready and announcing themselves to this process. */
    private readonly reportedReady = new Set<UpstreamId>();
    /** The registry's version up to which changes were published. */
    private publishedVersion = 0;

    constructor(private readonly options: AnnouncementPublisherOptions) {
        options.router.add(SUBSCRIBE_METHOD, (body, channel) => this.addSubscriber(body as SubscribeRequest, channel));
        options.router.add(DEPARTURE_METHOD, body => {
            const { id, incarnation } = body as DepartureNotice;
            options.registry.markLeaving(id, incarnation);
        });
    }

    get subscriberCount(): number {
        return this.subscribers.size;
    }

    /**
     * Receives an announcement from an upstream.
     *
     * @returns Whether it may be confirmed to the upstream; otherwise the upstream should announce to another control process.
     */
    async receive(announcement: Announcement): Promise<boolean> {
        this.options.registry.announce(announcement);
        if (announcement.state === "ready") return true;
        const update: AnnouncementUpdate = { records: [{ announcement, ageMs: 0 }], ...this.readClock() };
        const body = new EncodedBody(update);
        const confirmations = [...this.subscribers.keys()].map(channel =>
            channel.call(UPDATE_METHOD, body, CONFIRM_TIMEOUT_MS)
        );
        const confirmed = await Promise.all(confirmations);
        return confirmed.some(reply => reply.isRight());
    }

    /** Publishes changes and expires unresponsive upstreams until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(SEND_INTERVAL_MS, signal);
            this.options.registry.expire();
            this.sendUpdates();
        }
    }

    private addSubscriber({ level = "all" }: SubscribeRequest, channel: PeerChannel): AnnouncementUpdate {
        const { registry, clock } = this.options;
        if (!this.subscribers.has(channel)) void channel.closed.then(() => this.subscribers.delete(channel));
        this.subscribers.set(channel, { level, sentAt: clock.monotonic() });
        const { records } = registry.changesSince(0, "all");
        for (const record of records) this.updateReported(record);
        return { records: records.map(record => trimRecord(record, level)), ...this.readClock() };
    }

    private sendUpdates(): void {
        const expired = this.collectExpired();
        const { registry } = this.options;
        const since = this.publishedVersion;
        this.publishedVersion = registry.latestVersion;
        for (const level of ["membership", "all"] as const) {
            const { records } = registry.changesSince(since, SCOPE_BY_LEVEL[level]);
            for (const record of records) this.updateReported(record);
            this.sendToLevel(level, records, expired);
        }
    }

    private sendToLevel(
        level: UpdateLevel,
        records: readonly AnnouncementRecord[],
        expired: readonly ExpiredUpstream[],
    ): void {
        const now = this.options.clock.monotonic();
        const hasChanges = records.length > 0 || expired.length > 0;
        const due = [...this.subscribers].filter(([, subscription]) =>
            subscription.level === level && (hasChanges || now - subscription.sentAt >= KEEPALIVE_INTERVAL_MS)
        );
        if (due.length === 0) return;
        const trimmed = records.map(record => trimRecord(record, level));
        const update: AnnouncementUpdate = { records: trimmed, lapsed: expired, ...this.readClock() };
        const body = new EncodedBody(update);
        for (const [channel, subscription] of due) {
            subscription.sentAt = now;
            channel.notify(UPDATE_METHOD, body);
        }
    }

    private readClock(): Pick<AnnouncementUpdate, "wallMs" | "sentMs"> {
        const { clock } = this.options;
        return { wallMs: clock.now(), sentMs: clock.monotonic() };
    }

    private updateReported({ announcement, relayed }: AnnouncementRecord): void {
        const id = announcement.id as UpstreamId;
        if (announcement.state === "ready" && !relayed) this.reportedReady.add(id);
        else if (announcement.state !== "ready") this.reportedReady.delete(id);
    }

    /** Removes and returns the reported upstreams that became unresponsive or now announce themselves to another process. */
    private collectExpired(): ExpiredUpstream[] {
        const { registry, clock } = this.options;
        const expired: ExpiredUpstream[] = [];
        for (const id of this.reportedReady) {
            const upstream = registry.get(id);
            if (upstream?.state === "ready" && upstream.firstHand) continue;
            this.reportedReady.delete(id);
            if (upstream) expired.push({ id, ageMs: clock.monotonic() - upstream.aliveAt });
        }
        return expired;
    }
}

/** Removes what a level leaves out of a record. */
function trimRecord(record: AnnouncementRecord, level: UpdateLevel): AnnouncementRecord {
    if (level === "all") return record;
    return { ...record, announcement: { ...record.announcement, load: NO_LOAD, cache: undefined } };
}
