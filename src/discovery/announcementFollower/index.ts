import { HostId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { UpstreamRegistry } from "../../upstream/index.js";
import { PeerChannel, PeerRouter } from "../../wire/index.js";
import { FOLLOW_METHOD, News, NEWS_METHOD } from "../news/index.js";

const FOLLOW_TIMEOUT_MS = 1_000;

/** What a follower is made of. */
export interface AnnouncementFollowerOptions {
    readonly registry: UpstreamRegistry;
    /** Gets the method by which hubs send news. */
    readonly router: PeerRouter;
    readonly logger: Logger;
    /** Told of a hub's wall time, in milliseconds since the epoch. */
    readonly onWallTime: (host: HostId, wallMs: number) => void;
}

/**
 * Hears from hubs what upstreams announce. Follows each control process: an upstream tells one of them only.
 *
 * @example
 * const follower = new AnnouncementFollower(options);
 * new PeerLink({ ...linkOptions, onOpen: channel => void follower.follow(channel) });
 */
export class AnnouncementFollower {
    private readonly followed = new Set<PeerChannel>();

    constructor(private readonly options: AnnouncementFollowerOptions) {
        options.router.add(NEWS_METHOD, (body, channel) => this.takeNews(body as News, channel));
    }

    /** How many hubs are followed now. */
    get hubCount(): number {
        return this.followed.size;
    }

    /** Follows the hub at the other end of a channel until the channel ends. */
    async follow(channel: PeerChannel): Promise<void> {
        const answer = await channel.call(FOLLOW_METHOD, {}, FOLLOW_TIMEOUT_MS);
        if (answer.isLeft()) {
            // A channel without news looks sound and hides upstreams: the next one gets another try.
            this.options.logger.warn("hub-not-followed", {
                hub: channel.peer?.host,
                problem: answer.extract().message,
            });
            channel.reset();
            return;
        }
        this.followed.add(channel);
        void channel.closed.then(() => this.followed.delete(channel));
        this.takeNews(answer.unsafeCoerce() as News, channel);
    }

    private takeNews({ records, wallMs }: News, channel: PeerChannel): void {
        this.options.registry.merge(records);
        if (channel.peer) this.options.onWallTime(channel.peer.host, wallMs);
    }
}
