import { DEFAULT_LOG_TIMING, LogTiming } from "../../consensus/index.js";
import { PeerTiming } from "../../wire/index.js";

/** Between own processes: a silent peer is noticed within little more than a second, also where packets are lost now and then. */
export const OWN_PEER_TIMING: PeerTiming = { heartbeatMs: 500, silenceMs: 1_300 };

/**
 * The control log's times: a lost holder is replaced within little more than a second, so that entries find the next one before their views
 * are too old.
 */
export const CONTROL_LOG_TIMING: LogTiming = {
    ...DEFAULT_LOG_TIMING,
    heartbeatMs: 200,
    leaseMs: 900,
    electionSpreadMs: 450,
    appendTimeoutMs: 4_000,
    joinRetryMs: 250,
    // Documents are large entries: 200 of them with a thousand routes take some 40 MB of the disk.
    snapshotEntries: 200,
    trailingEntries: 50,
    segmentBytes: 1024 * 1024,
};

/** An entry's view is refused this share of the bound on withdrawn keys after it was asked for; the rest is for drift and flight. */
export const VIEW_LEASE_SHARE = 0.8;
/** The longest that a call to the platform may be on its way, in milliseconds: it answers within a few when it is well. */
export const PLATFORM_FLIGHT_MS = 1_000;

/** An upstream that has missed so many heartbeats is taken to be gone: one may come late, and its next may be lost. */
const MISSED_HEARTBEATS = 4;

/**
 * After how long without a word an upstream is taken to be gone.
 *
 * @param heartbeatMs - How often upstreams announce themselves, in milliseconds.
 * @returns Milliseconds.
 */
export function silenceOf(heartbeatMs: number): number {
    return MISSED_HEARTBEATS * heartbeatMs;
}
