import { HostId, UpstreamId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { SpreadRecord, UpstreamRegistry } from "../../upstream/index.js";
import { PeerChannel, PeerRouter } from "../../wire/index.js";
import { FOLLOW_METHOD, FollowRequest, News, NEWS_METHOD, NewsLevel } from "../news/index.js";

const FOLLOW_TIMEOUT_MS = 1_000;
/** How often it is looked whether another level of news is needed, in milliseconds. */
const LOOK_EVERY_MS = 200;
/**
 * How long it counts as heard, in milliseconds, that a hub was told what upstreams say after it has got out of reach: one that lives tells
 * another hub if its own is lost, and goes on telling its own if that one is only out of reach from here.
 */
const ORPHANED_MS = 3_000;

/** What a follower is made of. */
export interface AnnouncementFollowerOptions {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    /** Gets the method by which hubs send news. */
    readonly router: PeerRouter;
    readonly logger: Logger;
    /** Told of a hub's wall time, in milliseconds since the epoch. */
    readonly onWallTime: (host: HostId, wallMs: number) => void;
    /** What this process needs to know of upstreams now; undefined: all. */
    readonly levelNeeded?: () => NewsLevel;
}

/** The hub that an upstream announces itself to, as it was last told. */
interface Teller {
    readonly channel: PeerChannel;
    /** When the hub was found to be out of reach; monotonic, in milliseconds; undefined while it is not. */
    lostAt: number | undefined;
}

/**
 * Hears from hubs what upstreams announce. Follows each control process: an upstream tells one of them only.
 *
 * Guards against a chooser that takes half of all upstreams for silent, though they are well: it, or the hubs that they announce themselves to,
 * is cut off from the others. Silence counts where the hub says so; upstreams whose hub is out of reach are believed in for a while.
 *
 * @example
 * const follower = new AnnouncementFollower(options);
 * new PeerLink({ ...linkOptions, onOpen: channel => void follower.follow(channel) });
 */
export class AnnouncementFollower {
    /** With the level that each was asked for. */
    private readonly followed = new Map<PeerChannel, NewsLevel>();
    private readonly tellers = new Map<UpstreamId, Teller>();

    constructor(private readonly options: AnnouncementFollowerOptions) {
        options.router.add(NEWS_METHOD, (body, channel) => this.takeNews(body as News, channel));
    }

    /** How many hubs are followed now. */
    get hubCount(): number {
        return this.followed.size;
    }

    /** Follows the hub at the other end of a channel until the channel ends. */
    async follow(channel: PeerChannel): Promise<void> {
        const level = this.options.levelNeeded?.() ?? "all";
        const answer = await channel.call(FOLLOW_METHOD, { level } satisfies FollowRequest, FOLLOW_TIMEOUT_MS);
        if (answer.isLeft()) {
            // A channel without news looks sound and hides upstreams: the next one gets another try.
            this.options.logger.warn("hub-not-followed", {
                hub: channel.peer?.host,
                problem: answer.extract().message,
            });
            channel.reset();
            return;
        }
        if (!this.followed.has(channel)) void channel.closed.then(() => this.leave(channel));
        this.followed.set(channel, level);
        this.takeNews(answer.unsafeCoerce() as News, channel);
    }

    /** Asks for another level when this process comes to need it, and believes in orphaned upstreams, until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, levelNeeded } = this.options;
        while (!signal.aborted) {
            await clock.sleepToTick(LOOK_EVERY_MS, signal);
            this.vouchForOrphans();
            const level = levelNeeded?.() ?? "all";
            for (const [channel, asked] of this.followed) {
                if (asked !== level) void this.follow(channel);
            }
        }
    }

    private takeNews({ records, lapsed = [], wallMs }: News, channel: PeerChannel): void {
        const { registry, clock, onWallTime } = this.options;
        const now = clock.monotonic();
        registry.merge(records);
        for (const record of records) this.noteTeller(record, channel);
        for (const { id, ageMs } of lapsed) {
            if (this.tellers.get(id)?.channel !== channel) continue;
            this.tellers.delete(id);
            registry.vouch([id], now - ageMs);
        }
        registry.vouch(this.toldBy(channel), now);
        if (channel.peer) onWallTime(channel.peer.host, wallMs);
    }

    private noteTeller({ announcement, relayed }: SpreadRecord, channel: PeerChannel): void {
        const id = announcement.id as UpstreamId;
        if (announcement.state !== "ready") this.tellers.delete(id);
        else if (!relayed) this.tellers.set(id, { channel, lostAt: undefined });
    }

    private *toldBy(channel: PeerChannel): Generator<UpstreamId> {
        for (const [id, teller] of this.tellers) {
            if (teller.channel === channel) yield id;
        }
    }

    private leave(channel: PeerChannel): void {
        this.followed.delete(channel);
        const now = this.options.clock.monotonic();
        for (const teller of this.tellers.values()) {
            if (teller.channel === channel) teller.lostAt = now;
        }
    }

    private vouchForOrphans(): void {
        const { registry, clock } = this.options;
        const now = clock.monotonic();
        for (const [id, { lostAt }] of this.tellers) {
            if (lostAt === undefined) continue;
            if (now - lostAt < ORPHANED_MS) registry.vouch([id], now);
            else this.tellers.delete(id);
        }
    }
}
