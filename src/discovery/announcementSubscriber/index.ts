import { HostId, UpstreamId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";
import { SpreadRecord, UpstreamRegistry } from "../../upstream/index.js";
import { PeerChannel, PeerRouter } from "../../wire/index.js";
import {
    AnnouncementUpdate,
    SUBSCRIBE_METHOD,
    SubscribeRequest,
    UPDATE_METHOD,
    UpdateLevel,
} from "../announcementUpdate/index.js";

const SUBSCRIBE_TIMEOUT_MS = 1_000;
/** How often it is looked whether another level of news is needed, in milliseconds. */
const LOOK_EVERY_MS = 200;
/**
 * How long it counts as heard, in milliseconds, that a publisher was told what upstreams say after it has got out of reach: one that lives tells
 * another publisher if its own is lost, and goes on telling its own if that one is only out of reach from here.
 */
const UNREACHABLE_MS = 3_000;

/** What a subscriber is made of. */
export interface AnnouncementSubscriberOptions {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    /** Gets the method by which publishers send news. */
    readonly router: PeerRouter;
    readonly logger: Logger;
    /** Told of a publisher's wall time, in milliseconds since the epoch. */
    readonly onWallTime: (host: HostId, wallMs: number) => void;
    /** What this process needs to know of upstreams now; undefined: all. */
    readonly levelNeeded?: () => UpdateLevel;
}

/** The publisher that an upstream announces itself to, as it was last told. */
interface UpstreamSource {
    readonly channel: PeerChannel;
    /** When the publisher was found to be out of reach; monotonic, in milliseconds; undefined while it is not. */
    lostAt: number | undefined;
}

/**
 * Hears from publishers what upstreams announce. Subscribes to each control process: an upstream tells one of them only.
 *
 * Guards against a chooser that takes half of all upstreams for silent, though they are well: it, or the publishers that they announce themselves to,
 * is cut off from the others. Silence counts where the publisher says so; upstreams whose publisher is out of reach are believed in for a while.
 *
 * @example
 * const subscriber = new AnnouncementSubscriber(options);
 * new PeerLink({ ...linkOptions, onOpen: channel => void subscriber.subscribe(channel) });
 */
export class AnnouncementSubscriber {
    /** With the level that each was asked for. */
    private readonly subscribed = new Map<PeerChannel, UpdateLevel>();
    private readonly sources = new Map<UpstreamId, UpstreamSource>();

    constructor(private readonly options: AnnouncementSubscriberOptions) {
        options.router.add(UPDATE_METHOD, (body, channel) => this.takeUpdate(body as AnnouncementUpdate, channel));
    }

    /** How many publishers this process is subscribed to. */
    get publisherCount(): number {
        return this.subscribed.size;
    }

    /** Subscribes to the publisher at the other end of a channel until the channel ends. */
    async subscribe(channel: PeerChannel): Promise<void> {
        const level = this.options.levelNeeded?.() ?? "all";
        const answer = await channel.call(SUBSCRIBE_METHOD, { level } satisfies SubscribeRequest, SUBSCRIBE_TIMEOUT_MS);
        if (answer.isLeft()) {
            // A channel without news looks sound and hides upstreams: the next one gets another try.
            this.options.logger.warn("publisher-not-subscribed", {
                publisher: channel.peer?.host,
                problem: answer.extract().message,
            });
            channel.reset();
            return;
        }
        if (!this.subscribed.has(channel)) void channel.closed.then(() => this.leave(channel));
        this.subscribed.set(channel, level);
        this.takeUpdate(answer.unsafeCoerce() as AnnouncementUpdate, channel);
    }

    /** Asks for another level when this process comes to need it, and believes in unreachable upstreams, until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, levelNeeded } = this.options;
        while (!signal.aborted) {
            await clock.sleepToTick(LOOK_EVERY_MS, signal);
            this.confirmUnreachable();
            const level = levelNeeded?.() ?? "all";
            for (const [channel, asked] of this.subscribed) {
                if (asked !== level) void this.subscribe(channel);
            }
        }
    }

    private takeUpdate({ records, lapsed = [], wallMs }: AnnouncementUpdate, channel: PeerChannel): void {
        const { registry, clock, onWallTime } = this.options;
        const now = clock.monotonic();
        registry.merge(records);
        for (const record of records) this.noteSource(record, channel);
        for (const { id, ageMs } of lapsed) {
            if (this.sources.get(id)?.channel !== channel) continue;
            this.sources.delete(id);
            registry.confirmAlive([id], now - ageMs);
        }
        registry.confirmAlive(this.toldBy(channel), now);
        if (channel.peer) onWallTime(channel.peer.host, wallMs);
    }

    private noteSource({ announcement, relayed }: SpreadRecord, channel: PeerChannel): void {
        const id = announcement.id as UpstreamId;
        if (announcement.state !== "ready") this.sources.delete(id);
        else if (!relayed) this.sources.set(id, { channel, lostAt: undefined });
    }

    private *toldBy(channel: PeerChannel): Generator<UpstreamId> {
        for (const [id, source] of this.sources) {
            if (source.channel === channel) yield id;
        }
    }

    private leave(channel: PeerChannel): void {
        this.subscribed.delete(channel);
        const now = this.options.clock.monotonic();
        for (const source of this.sources.values()) {
            if (source.channel === channel) source.lostAt = now;
        }
    }

    private confirmUnreachable(): void {
        const { registry, clock } = this.options;
        const now = clock.monotonic();
        for (const [id, { lostAt }] of this.sources) {
            if (lostAt === undefined) continue;
            if (now - lostAt < UNREACHABLE_MS) registry.confirmAlive([id], now);
            else this.sources.delete(id);
        }
    }
}
