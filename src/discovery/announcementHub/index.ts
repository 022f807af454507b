import { UpstreamId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { Announcement, LoadReport } from "../../protocol/index.js";
import { SpreadRecord, SpreadScope, UpstreamRegistry } from "../../upstream/index.js";
import { EncodedBody, PeerChannel, PeerRouter } from "../../wire/index.js";
import { FOLLOW_METHOD, FollowRequest, Lapse, News, NEWS_METHOD, NewsLevel } from "../news/index.js";

/** How often news is sent, in milliseconds: a new upstream gets work a little later, and many announcements share a message. */
const SEND_EVERY_MS = 100;
/** A follower hears at least this often, in milliseconds: the hub's time of day, and that it still hears its upstreams. */
const HEARD_EVERY_MS = 1_000;
/** How long a follower may take to confirm that an upstream leaves, in milliseconds: well under the upstream's own patience. */
const CONFIRM_MS = 300;
/** What a record says of load where only membership is told: the true one would soon be out of date, and is not corrected. */
const NO_LOAD: LoadReport = { running: 0, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };

const SCOPES: Readonly<Record<NewsLevel, SpreadScope>> = { membership: "membership", all: "heard" };

/** What a hub is made of. */
export interface AnnouncementHubOptions {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    /** Gets the method by which others follow. */
    readonly router: PeerRouter;
}

interface Following {
    readonly level: NewsLevel;
    sentAt: number;
}

/**
 * Takes announcements from upstreams and passes them on to all that follow. What all followers of a level get is made and encoded once, and
 * most followers get only what changes: a hub's work and bytes don't grow with followers × announcements.
 *
 * Guards against a leaver that goes on getting work: it is told that its word was taken, this process is lost in the next moment, and
 * no entry has heard of it. So a leaver's word counts as taken only once a follower has confirmed it, and followers pass leavers on
 * whoever told them.
 *
 * @example
 * const hub = new AnnouncementHub({ clock, registry, router });
 * const taken = await hub.take(announcement);
 */
export class AnnouncementHub {
    private readonly followers = new Map<PeerChannel, Following>();
    /** Ready upstreams that announce themselves here, as followers know. */
    private readonly vouched = new Set<UpstreamId>();
    /** Followers know what the registry had learned up to this version. */
    private toldVersion = 0;

    constructor(private readonly options: AnnouncementHubOptions) {
        options.router.add(FOLLOW_METHOD, (body, channel) => this.addFollower(body as FollowRequest, channel));
    }

    get followerCount(): number {
        return this.followers.size;
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
        const news: News = { records: [{ announcement, ageMs: 0 }], wallMs: clock.now() };
        const body = new EncodedBody(news);
        const confirmations = [...this.followers.keys()].map(channel => channel.call(NEWS_METHOD, body, CONFIRM_MS));
        const confirmed = await Promise.all(confirmations);
        return confirmed.some(answer => answer.isRight());
    }

    /** Sends news, and looks for upstreams that have gone silent, until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(SEND_EVERY_MS, signal);
            this.options.registry.expire();
            this.sendNews();
        }
    }

    private addFollower({ level = "all" }: FollowRequest, channel: PeerChannel): News {
        const { registry, clock } = this.options;
        if (!this.followers.has(channel)) void channel.closed.then(() => this.followers.delete(channel));
        this.followers.set(channel, { level, sentAt: clock.monotonic() });
        const { records } = registry.changesSince(0, "all");
        for (const record of records) this.noteTold(record);
        return { records: records.map(record => trimRecord(record, level)), wallMs: clock.now() };
    }

    private sendNews(): void {
        const lapsed = this.takeLapses();
        const { registry } = this.options;
        const since = this.toldVersion;
        this.toldVersion = registry.latestVersion;
        for (const level of ["membership", "all"] as const) {
            const { records } = registry.changesSince(since, SCOPES[level]);
            for (const record of records) this.noteTold(record);
            this.sendToLevel(level, records, lapsed);
        }
    }

    private sendToLevel(level: NewsLevel, records: readonly SpreadRecord[], lapsed: readonly Lapse[]): void {
        const now = this.options.clock.monotonic();
        const hasNews = records.length > 0 || lapsed.length > 0;
        const due = [...this.followers].filter(([, following]) =>
            following.level === level && (hasNews || now - following.sentAt >= HEARD_EVERY_MS)
        );
        if (due.length === 0) return;
        const trimmed = records.map(record => trimRecord(record, level));
        const news: News = { records: trimmed, lapsed, wallMs: this.options.clock.now() };
        const body = new EncodedBody(news);
        for (const [channel, following] of due) {
            following.sentAt = now;
            channel.notify(NEWS_METHOD, body);
        }
    }

    private noteTold({ announcement, relayed }: SpreadRecord): void {
        const id = announcement.id as UpstreamId;
        if (announcement.state === "ready" && !relayed) this.vouched.add(id);
        else if (announcement.state !== "ready") this.vouched.delete(id);
    }

    /** Upstreams that have gone silent, or announce themselves elsewhere. */
    private takeLapses(): Lapse[] {
        const { registry, clock } = this.options;
        const lapsed: Lapse[] = [];
        for (const id of this.vouched) {
            const upstream = registry.get(id);
            if (upstream?.state === "ready" && upstream.firstHand) continue;
            this.vouched.delete(id);
            if (upstream) lapsed.push({ id, ageMs: clock.monotonic() - upstream.aliveAt });
        }
        return lapsed;
    }
}

function trimRecord(record: SpreadRecord, level: NewsLevel): SpreadRecord {
    if (level === "all") return record;
    return { ...record, announcement: { ...record.announcement, load: NO_LOAD, cache: undefined } };
}
