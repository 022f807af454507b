import { DEFAULT_LOG_TIMING, LogTiming } from "../../consensus/index.js";
import { PeerTiming } from "../../wire/index.js";

/**
 * Timing of connections between the system's own processes. An unresponsive peer is detected within little more than a
 * second, and occasional packet loss is tolerated.
 */
export const INTERNAL_PEER_TIMING: PeerTiming = { heartbeatMs: 500, silenceMs: 1_300 };

/**
 * Timing of the control log. A lost holder is replaced within little more than a second, so that entries find its successor
 * before their views expire.
 */
export const CONTROL_LOG_TIMING: LogTiming = {
    ...DEFAULT_LOG_TIMING,
    heartbeatMs: 200,
    leaseMs: 900,
    electionSpreadMs: 450,
    appendTimeoutMs: 4_000,
    joinRetryMs: 250,
    // Fleet documents are large entries: 200 of them with a thousand routes each take about 40 MB on disk.
    snapshotEntries: 200,
    trailingEntries: 50,
    segmentBytes: 1024 * 1024,
};

/**
 * Lifetime of an entry's view, counted from its request, as a share of the time within which a withdrawn key must be refused.
 * The rest allows for clock drift and network latency.
 */
export const VIEW_LEASE_SHARE = 0.8;
/** Maximum time for which a call to the platform may be in flight; a healthy platform answers within a few milliseconds. */
export const MAX_PLATFORM_CALL_MS = 1_000;

/** Part of a planned stop's grace period that is reserved for ending the process after the drain, in milliseconds. */
export const EXIT_RESERVE_MS = 700;

/** Number of missed heartbeats after which an upstream is treated as gone: one may be late and the next one lost. */
const MISSED_HEARTBEATS_UNTIL_GONE = 4;

/**
 * Returns the time without a heartbeat after which an upstream is treated as gone, in milliseconds.
 *
 * @param heartbeatMs - Interval between heartbeats, in milliseconds.
 */
export function upstreamTimeoutMs(heartbeatMs: number): number {
    return MISSED_HEARTBEATS_UNTIL_GONE * heartbeatMs;
}
