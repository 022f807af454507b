import { UpstreamId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { Announcement, LoadReport } from "../../protocol/index.js";
import { SpreadRecord, SpreadScope, UpstreamRegistry } from "../../upstream/index.js";
import { EncodedBody, PeerChannel, PeerRouter } from "../../wire/index.js";
import {
    AnnouncementUpdate,
    ExpiredUpstream,
    SUBSCRIBE_METHOD,
    SubscribeRequest,
    UPDATE_METHOD,
    UpdateLevel,
} from "../announcementUpdate/index.js";

/** How often news is sent, in milliseconds: a new upstream gets work a little later, and many announcements share a message. */
const SEND_EVERY_MS = 100;
/** A subscriber hears at least this often, in milliseconds: the publisher's time of day, and that it still hears its upstreams. */
const HEARD_EVERY_MS = 1_000;
/** How long a subscriber may take to confirm that an upstream leaves, in milliseconds: well under the upstream's own patience. */
const CONFIRM_MS = 300;
/** What a record says of load where only membership is told: the true one would soon be out of date, and is not corrected. */
const NO_LOAD: LoadReport = { running: 0, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };

const SCOPES: Readonly<Record<UpdateLevel, SpreadScope>> = { membership: "membership", all: "heard" };

/** What a publisher is made of. */
export interface AnnouncementPublisherOptions {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    /** Gets the method by which others subscribe. */
    readonly router: PeerRouter;
}

interface Subscription {
    readonly level: UpdateLevel;
    sentAt: number;
}

/**
 * Takes announcements from upstreams and passes them on to all that subscribe. What all subscribers of a level get is made and encoded once, and
 * most subscribers get only what changes: a publisher's work and bytes don't grow with subscribers × announcements.
 *
 * Guards against a leaver that goes on getting work: it is told that its word was taken, this process is lost in the next moment, and
 * no entry has heard of it. So a leaver's word counts as taken only once a subscriber has confirmed it, and subscribers pass leavers on
 * whoever told them.
 *
 * @example
 * const publisher = new AnnouncementPublisher({ clock, registry, router });
 * const taken = await publisher.take(announcement);
 */
export class AnnouncementPublisher {
    private readonly subscribers = new Map<PeerChannel, Subscription>();
    /** Ready upstreams that announce themselves here, as subscribers know. */
    private readonly reported = new Set<UpstreamId>();
    /** Followers know what the registry had learned up to this version. */
    private toldVersion = 0;

    constructor(private readonly options: AnnouncementPublisherOptions) {
        options.router.add(SUBSCRIBE_METHOD, (body, channel) => this.addFollower(body as SubscribeRequest, channel));
    }

    get subscriberCount(): number {
        return this.subscribers.size;
    }

    /**
     * Takes an announcement.
     *
     * @returns Whether it may be confirmed to the upstream; otherwise it should tell another control process.
     */
    async take(announcement: Announcement): Promise<boolean> {
        const { registry, clock } = this.options;
        registry.announce(announcement);
        if (announcement.state === "ready") return true;
        const news: AnnouncementUpdate = { records: [{ announcement, ageMs: 0 }], wallMs: clock.now() };
        const body = new EncodedBody(news);
        const confirmations = [...this.subscribers.keys()].map(channel =>
            channel.call(UPDATE_METHOD, body, CONFIRM_MS)
        );
        const confirmed = await Promise.all(confirmations);
        return confirmed.some(answer => answer.isRight());
    }

    /** Sends news, and looks for upstreams that have gone silent, until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(SEND_EVERY_MS, signal);
            this.options.registry.expire();
            this.sendUpdates();
        }
    }

    private addFollower({ level = "all" }: SubscribeRequest, channel: PeerChannel): AnnouncementUpdate {
        const { registry, clock } = this.options;
        if (!this.subscribers.has(channel)) void channel.closed.then(() => this.subscribers.delete(channel));
        this.subscribers.set(channel, { level, sentAt: clock.monotonic() });
        const { records } = registry.changesSince(0, "all");
        for (const record of records) this.noteTold(record);
        return { records: records.map(record => trimRecord(record, level)), wallMs: clock.now() };
    }

    private sendUpdates(): void {
        const lapsed = this.takeExpired();
        const { registry } = this.options;
        const since = this.toldVersion;
        this.toldVersion = registry.latestVersion;
        for (const level of ["membership", "all"] as const) {
            const { records } = registry.changesSince(since, SCOPES[level]);
            for (const record of records) this.noteTold(record);
            this.sendToLevel(level, records, lapsed);
        }
    }

    private sendToLevel(
        level: UpdateLevel,
        records: readonly SpreadRecord[],
        lapsed: readonly ExpiredUpstream[],
    ): void {
        const now = this.options.clock.monotonic();
        const hasNews = records.length > 0 || lapsed.length > 0;
        const due = [...this.subscribers].filter(([, subscription]) =>
            subscription.level === level && (hasNews || now - subscription.sentAt >= HEARD_EVERY_MS)
        );
        if (due.length === 0) return;
        const trimmed = records.map(record => trimRecord(record, level));
        const news: AnnouncementUpdate = { records: trimmed, lapsed, wallMs: this.options.clock.now() };
        const body = new EncodedBody(news);
        for (const [channel, subscription] of due) {
            subscription.sentAt = now;
            channel.notify(UPDATE_METHOD, body);
        }
    }

    private noteTold({ announcement, relayed }: SpreadRecord): void {
        const id = announcement.id as UpstreamId;
        if (announcement.state === "ready" && !relayed) this.reported.add(id);
        else if (announcement.state !== "ready") this.reported.delete(id);
    }

    /** Upstreams that have gone silent, or announce themselves elsewhere. */
    private takeExpired(): ExpiredUpstream[] {
        const { registry, clock } = this.options;
        const lapsed: ExpiredUpstream[] = [];
        for (const id of this.reported) {
            const upstream = registry.get(id);
            if (upstream?.state === "ready" && upstream.firstHand) continue;
            this.reported.delete(id);
            if (upstream) lapsed.push({ id, ageMs: clock.monotonic() - upstream.aliveAt });
        }
        return lapsed;
    }
}

function trimRecord(record: SpreadRecord, level: UpdateLevel): SpreadRecord {
    if (level === "all") return record;
    return { ...record, announcement: { ...record.announcement, load: NO_LOAD, cache: undefined } };
}
