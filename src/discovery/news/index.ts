import { SpreadRecord } from "../../upstream/index.js";

/** Asks a hub for all that it knows and, from then on, for news over the same channel. */
export const FOLLOW_METHOD = "discovery.follow";
/** Sent by a hub to those that follow it; as a call where it waits for the answer. */
export const NEWS_METHOD = "discovery.news";

/** What a hub tells its followers. */
export interface News {
    readonly records: readonly SpreadRecord[];
    /** The hub's wall time when it sent this, in milliseconds since the epoch. */
    readonly wallMs: number;
}
