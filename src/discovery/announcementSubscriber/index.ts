import { HostId, UpstreamId } from "../../ids/index.js";
import { Logger, RejectionLog } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import { AnnouncementRecord, UpstreamRegistry } from "../../upstream/index.js";
import { PeerChannel, PeerRouter } from "../../wire/index.js";
import {
    DEPARTURE_METHOD,
    DepartureNotice,
    SUBSCRIBE_METHOD,
    SubscribeRequest,
    UPDATE_METHOD,
    UpdateLevel,
} from "../announcementUpdate/index.js";
import { readUpdate } from "../readUpdate/index.js";
import { TransitMeter } from "../transitMeter/index.js";

const SUBSCRIBE_TIMEOUT_MS = 1_000;
/** Interval at which the level of updates that this process needs is checked. */
const LEVEL_CHECK_INTERVAL_MS = 200;
/**
 * Time for which upstreams are assumed alive after their publisher became unreachable. An upstream that is alive announces itself
 * to another publisher if its own is lost, and keeps announcing to its own if that is unreachable only from this process.
 */
const UNREACHABLE_GRACE_MS = 3_000;

/** Options of `AnnouncementSubscriber`. */
export interface AnnouncementSubscriberOptions {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    /** Router on which the update method is registered. */
    readonly router: PeerRouter;
    readonly logger: Logger;
    /** Receives the number of rejected entries; undefined: none is recorded. */
    readonly metrics?: Metrics;
    /** Called with a publisher's wall time at sending, in milliseconds since the epoch. */
    readonly onWallTime: (host: HostId, wallMs: number) => void;
    /** Returns the level of updates that this process needs now; `all` if left out. */
    readonly requiredLevel?: () => UpdateLevel;
}

/** The publisher to which an upstream last announced itself. */
interface UpstreamSource {
    readonly channel: PeerChannel;
    /** Monotonic time at which the publisher became unreachable, in milliseconds; undefined while it is reachable. */
    unreachableSince: number | undefined;
}

/**
 * Receives announcements of upstreams from publishers. Subscribes to every control process, since an upstream announces
 * itself to one of them only.
 *
 * When this process or some publishers are cut off from the others, healthy upstreams must not all be marked as
 * unresponsive. So an upstream counts as unresponsive when its publisher reports it, and the upstreams of an unreachable
 * publisher are assumed alive for a while.
 *
 * @example
 * const subscriber = new AnnouncementSubscriber(options);
 * new PeerLink({ ...linkOptions, onOpen: channel => void subscriber.subscribe(channel) });
 */
export class AnnouncementSubscriber {
    /** Channels to the publishers subscribed to, with the requested level. */
    private readonly levelByChannel = new Map<PeerChannel, UpdateLevel>();
    private readonly meters = new WeakMap<PeerChannel, TransitMeter>();
    /** The publisher of each ready upstream. */
    private readonly sources = new Map<UpstreamId, UpstreamSource>();
    private readonly rejections: RejectionLog;

    constructor(private readonly options: AnnouncementSubscriberOptions) {
        this.rejections = new RejectionLog(options);
        options.router.add(UPDATE_METHOD, (body, channel) => this.applyUpdate(body, channel));
    }

    /** Number of publishers that this process is subscribed to. */
    get publisherCount(): number {
        return this.levelByChannel.size;
    }

    /** Subscribes to the publisher at the remote end of a channel until the channel ends. */
    async subscribe(channel: PeerChannel): Promise<void> {
        const level = this.options.requiredLevel?.() ?? "all";
        const askedAt = this.options.clock.monotonic();
        const reply = await channel.call(SUBSCRIBE_METHOD, { level } satisfies SubscribeRequest, SUBSCRIBE_TIMEOUT_MS);
        if (reply.isLeft()) {
            // Without a subscription the channel would look healthy while upstreams stay unknown. The next channel tries again.
            this.options.logger.warn("publisher-not-subscribed", {
                publisher: channel.peer?.host,
                problem: reply.extract().message,
            });
            channel.reset();
            return;
        }
        if (!this.levelByChannel.has(channel)) void channel.closed.then(() => this.removeChannel(channel));
        this.levelByChannel.set(channel, level);
        this.applyUpdate(reply.unsafeCoerce(), channel, askedAt);
    }

    /** Notifies all publishers that an upstream has stated in an answer that it is about to end. */
    reportDeparture(departure: DepartureNotice): void {
        for (const channel of this.levelByChannel.keys()) channel.notify(DEPARTURE_METHOD, departure);
    }

    /**
     * Requests another level when the one that this process needs changes, and keeps the upstreams of unreachable publishers
     * alive for a while, until the signal is aborted.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, requiredLevel } = this.options;
        while (!signal.aborted) {
            await clock.sleepToTick(LEVEL_CHECK_INTERVAL_MS, signal);
            this.keepUnreachableAlive();
            const level = requiredLevel?.() ?? "all";
            for (const [channel, requestedLevel] of this.levelByChannel) {
                if (requestedLevel !== level) void this.subscribe(channel);
            }
        }
    }

    /** Returns for how long an update waited on its way, in milliseconds, as far as that is known. */
    private measureTransit(channel: PeerChannel, sentMs: number | undefined, now: number, notBefore = now): number {
        if (sentMs === undefined) return 0;
        const meter = this.meterOf(channel);
        meter.addLowerBound(sentMs, notBefore);
        return meter.measure(sentMs, now);
    }

    private meterOf(channel: PeerChannel): TransitMeter {
        const meter = this.meters.get(channel) ?? new TransitMeter();
        this.meters.set(channel, meter);
        return meter;
    }

    /** @param notBefore - A moment before which the update was not sent, in milliseconds on this host's monotonic clock. */
    private applyUpdate(body: unknown, channel: PeerChannel, notBefore?: number): void {
        const { records, lapsed: expired, wallMs, sentMs, rejected, problem = "" } = readUpdate(body);
        if (rejected > 0) this.rejections.record("announcement-updates", rejected, problem);
        const { registry, clock, onWallTime } = this.options;
        const now = clock.monotonic();
        registry.merge(records, now - this.measureTransit(channel, sentMs, now, notBefore));
        for (const record of records) this.updateSource(record, channel);
        for (const { id, ageMs } of expired) {
            if (this.sources.get(id)?.channel !== channel) continue;
            this.sources.delete(id);
            registry.confirmAlive([id], now - ageMs);
        }
        registry.confirmAlive(this.listUpstreamsOf(channel), now);
        if (channel.peer && wallMs !== undefined) onWallTime(channel.peer.host, wallMs);
    }

    private updateSource({ announcement, relayed }: AnnouncementRecord, channel: PeerChannel): void {
        const id = announcement.id as UpstreamId;
        if (announcement.state !== "ready") this.sources.delete(id);
        else if (!relayed) this.sources.set(id, { channel, unreachableSince: undefined });
    }

    private *listUpstreamsOf(channel: PeerChannel): Generator<UpstreamId> {
        for (const [id, source] of this.sources) {
            if (source.channel === channel) yield id;
        }
    }

    private removeChannel(channel: PeerChannel): void {
        this.levelByChannel.delete(channel);
        const now = this.options.clock.monotonic();
        for (const source of this.sources.values()) {
            if (source.channel === channel) source.unreachableSince = now;
        }
    }

    private keepUnreachableAlive(): void {
        const { registry, clock } = this.options;
        const now = clock.monotonic();
        for (const [id, { unreachableSince }] of this.sources) {
            if (unreachableSince === undefined) continue;
            if (now - unreachableSince < UNREACHABLE_GRACE_MS) registry.confirmAlive([id], now);
            else this.sources.delete(id);
        }
    }
}
