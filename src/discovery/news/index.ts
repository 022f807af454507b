import { UpstreamId } from "../../ids/index.js";
import { SpreadRecord } from "../../upstream/index.js";

/** Asks a hub for all that it knows and, from then on, for news over the same channel; asked again, it changes the level. */
export const FOLLOW_METHOD = "discovery.follow";
/** Sent by a hub to those that follow it; as a call where it waits for the answer. */
export const NEWS_METHOD = "discovery.news";

/**
 * What a follower is told of. `membership`: upstreams that come, leave, go or change, all that most entries need; `all`: each announcement
 * with its load and caches, for those that choose among upstreams and for other hubs.
 */
export type NewsLevel = "membership" | "all";

/** What a follower asks for. */
export interface FollowRequest {
    /** Undefined: `all`. */
    readonly level?: NewsLevel;
}

/** An upstream that a hub had said it hears, and no longer does. */
export interface Lapse {
    readonly id: UpstreamId;
    /** How long ago the hub last heard of it, in milliseconds. */
    readonly ageMs: number;
}

/** What a hub tells its followers. With each message it vouches for the ready upstreams that it has told of, but for those that lapsed. */
export interface News {
    readonly records: readonly SpreadRecord[];
    readonly lapsed?: readonly Lapse[];
    /** The hub's wall time when it sent this, in milliseconds since the epoch. */
    readonly wallMs: number;
}
