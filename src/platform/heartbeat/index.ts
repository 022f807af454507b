import { Either } from "purify-ts";
import * as z from "zod";
import {
    Announcement,
    announcementSchema,
    ipAddressSchema,
    LoadReport,
    MAX_ORDINAL,
    MAX_SOFTWARE_VERSION_LENGTH,
} from "../../protocol/index.js";

/** A heartbeat that is malformed, so that its upstream can't be used. */
export class HeartbeatError extends Error {}

/** Latest start time that an engine may state, in Unix milliseconds: a moment of the year 2109. */
const MAX_BORN_MS = 2 ** 42;

/** The bounds of numbers and texts are those of announcements, into which heartbeats are converted. */
const heartbeatSchema = z.looseObject({
    /** The pool that the engine belongs to. */
    service: z.string().min(1),
    /** `IP:port` at which the engine accepts requests. */
    address: ipAddressSchema,
    zone: z.string().min(1),
    /** Version of the engine's software. */
    version: z.string().optional(),
    slots: z.int(),
    state: z.enum(["ready", "draining"]),
    /** Number of heartbeats that the engine has sent since its start. */
    sequence: z.int(),
    /** Start time of the engine, in Unix milliseconds. */
    born: z.int().max(MAX_BORN_MS).default(0),
    /** Remaining time for which the engine is cold after its start, in milliseconds. */
    coldRemainingMs: z.number().min(0).default(0),
    /** Sent by model engines only, so its presence distinguishes them from other services. */
    stage: z.string().optional(),
    /** Whether the platform may reclaim the engine's machine. */
    spot: z.boolean().optional(),
    /** Time until the platform reclaims the machine, in milliseconds. */
    leaves_ms: z.number().min(0).optional(),
});

/** Used for all engines: their heartbeats carry no load. */
const UNKNOWN_LOAD: LoadReport = { running: 0, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };

/**
 * Parses a heartbeat and converts it to an announcement.
 *
 * @param id - Instance ID from the request's path.
 * @param body - JSON text.
 */
export function parseHeartbeat(id: string, body: Uint8Array): Either<HeartbeatError, Announcement> {
    return Either.encase(() => {
        const heartbeat = heartbeatSchema.parse(JSON.parse(Buffer.from(body).toString()));
        return announcementSchema.parse({
            id,
            incarnation: heartbeat.born,
            sequence: heartbeat.sequence,
            state: heartbeat.state === "draining" ? "leaving" : "ready",
            kind: heartbeat.stage === undefined ? "service" : "engine",
            pools: [heartbeat.service],
            zone: heartbeat.zone,
            address: heartbeat.address,
            slots: heartbeat.slots,
            price_per_hour: 0,
            reclaimable: heartbeat.spot ?? false,
            checks_fence: false,
            load: UNKNOWN_LOAD,
            ...(heartbeat.coldRemainingMs > 0 ? { cold_ms: heartbeat.coldRemainingMs } : {}),
            ...(isUsableVersion(heartbeat.version) ? { software_version: heartbeat.version } : {}),
            ...(heartbeat.leaves_ms === undefined ? {} : { reclaim_in_ms: heartbeat.leaves_ms }),
        });
    }).mapLeft(err => new HeartbeatError(describeError(err)));
}

/**
 * Creates the final announcement of an engine that deregisters without sending its fields: its last announcement, with the
 * state `gone`.
 */
export function makeGoneAnnouncement(last: Announcement): Announcement {
    return { ...last, state: "gone", sequence: Math.min(last.sequence + 1, MAX_ORDINAL) };
}

/** Whether a version can be compared: an empty or very long one counts as unknown. */
function isUsableVersion(version: string | undefined): boolean {
    return version !== undefined && version.length > 0 && version.length <= MAX_SOFTWARE_VERSION_LENGTH;
}

function describeError(err: Error): string {
    if (!(err instanceof z.ZodError)) return err.message;
    const [issue] = err.issues;
    return `${issue.path.join(".") || "heartbeat"}: ${issue.message}`;
}
