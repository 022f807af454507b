import { UpstreamId } from "../../ids/index.js";
import { AnnouncementRecord } from "../../upstream/index.js";

/**
 * Subscribes to a publisher: the reply has its whole state, and updates follow over the same channel. A further call on the
 * channel changes the level.
 */
export const SUBSCRIBE_METHOD = "discovery.follow";
/** Carries an update from a publisher to a subscriber; a call where the publisher needs the confirmation, else a notification. */
export const UPDATE_METHOD = "discovery.news";

/** Notifies a publisher that an upstream has stated in an answer that it is about to end. */
export const DEPARTURE_METHOD = "discovery.departure";

/** Parameters of `DEPARTURE_METHOD`. */
export interface DepartureNotice {
    readonly id: UpstreamId;
    /** The incarnation that is about to end. */
    readonly incarnation: number;
}

/**
 * Detail of the updates that a subscriber gets. `membership`: upstreams that join, leave, end or change, which is all that
 * most entries need. `all`: each announcement with its load and cache events, for processes that choose among upstreams and
 * for other publishers.
 */
export type UpdateLevel = "membership" | "all";

/** Parameters of `SUBSCRIBE_METHOD`. */
export interface SubscribeRequest {
    /** Defaults to `all`. */
    readonly level?: UpdateLevel;
}

/** An upstream that a publisher had reported as ready, but from which it no longer receives announcements. */
export interface ExpiredUpstream {
    readonly id: UpstreamId;
    /** Time since the upstream was last known to be alive, in milliseconds. */
    readonly ageMs: number;
}

/**
 * An update from a publisher to its subscribers. Each one also confirms that all ready upstreams which the publisher has
 * reported are alive, except those in `lapsed`.
 */
export interface AnnouncementUpdate {
    /** New or changed announcements. */
    readonly records: readonly AnnouncementRecord[];
    /** Upstreams that the publisher no longer confirms. */
    readonly lapsed?: readonly ExpiredUpstream[];
    /** The publisher's wall time at sending, in milliseconds since the epoch. */
    readonly wallMs: number;
    /** The publisher's monotonic time at sending, in milliseconds; undefined from publishers of an earlier version. */
    readonly sentMs?: number;
}
