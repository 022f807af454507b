import { UpstreamId } from "../../ids/index.js";
import { SpreadRecord } from "../../upstream/index.js";

/** Asks a publisher for all that it knows and, from then on, for news over the same channel; asked again, it changes the level. */
export const SUBSCRIBE_METHOD = "discovery.follow";
/** Sent by a publisher to those that subscribe it; as a call where it waits for the answer. */
export const UPDATE_METHOD = "discovery.news";

/**
 * What a subscriber is told of. `membership`: upstreams that come, leave, go or change, all that most entries need; `all`: each announcement
 * with its load and caches, for those that choose among upstreams and for other publishers.
 */
export type UpdateLevel = "membership" | "all";

/** What a subscriber asks for. */
export interface SubscribeRequest {
    /** Undefined: `all`. */
    readonly level?: UpdateLevel;
}

/** An upstream that a publisher had said it hears, and no longer does. */
export interface ExpiredUpstream {
    readonly id: UpstreamId;
    /** How long ago the publisher last heard of it, in milliseconds. */
    readonly ageMs: number;
}

/** What a publisher tells its subscribers. With each message it confirms the ready upstreams that it has told of, but for those that lapsed. */
export interface AnnouncementUpdate {
    readonly records: readonly SpreadRecord[];
    readonly lapsed?: readonly ExpiredUpstream[];
    /** The publisher's wall time when it sent this, in milliseconds since the epoch. */
    readonly wallMs: number;
}
