import { Clock } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";
import { UpstreamRegistry } from "../../upstream/index.js";
import { PeerChannel, PeerRouter } from "../../wire/index.js";
import { FOLLOW_METHOD, News, NEWS_METHOD } from "../news/index.js";

/** How often news is sent, in milliseconds: a new upstream gets work a little later, and many announcements share a message. */
const SEND_EVERY_MS = 100;
/** A follower hears at least this often, in milliseconds, so that it knows the hub's time of day. */
const HEARD_EVERY_MS = 2_000;
/** How long a follower may take to confirm that an upstream leaves, in milliseconds: well under the upstream's own patience. */
const CONFIRM_MS = 300;

/** What a hub is made of. */
export interface AnnouncementHubOptions {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    /** Gets the method by which others follow. */
    readonly router: PeerRouter;
}

interface Following {
    version: number;
    sentAt: number;
}

/**
 * Takes announcements from upstreams and passes them on to all that follow.
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

    constructor(private readonly options: AnnouncementHubOptions) {
        options.router.add(FOLLOW_METHOD, (_, channel) => this.addFollower(channel));
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
        const confirmations = [...this.followers.keys()].map(channel => channel.call(NEWS_METHOD, news, CONFIRM_MS));
        const confirmed = await Promise.all(confirmations);
        return confirmed.some(answer => answer.isRight());
    }

    /** Sends news until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleep(SEND_EVERY_MS, signal);
            for (const [channel, following] of this.followers) this.sendNews(channel, following);
        }
    }

    private addFollower(channel: PeerChannel): News {
        const { registry, clock } = this.options;
        const { version, records } = registry.changesSince(0, "all");
        this.followers.set(channel, { version, sentAt: clock.monotonic() });
        void channel.closed.then(() => this.followers.delete(channel));
        return { records, wallMs: clock.now() };
    }

    private sendNews(channel: PeerChannel, following: Following): void {
        const { registry, clock } = this.options;
        const { version, records } = registry.changesSince(following.version, "heard");
        const isDue = clock.monotonic() - following.sentAt >= HEARD_EVERY_MS;
        following.version = version;
        if (records.length === 0 && !isDue) return;
        following.sentAt = clock.monotonic();
        channel.notify(NEWS_METHOD, { records, wallMs: clock.now() } satisfies News);
    }
}
