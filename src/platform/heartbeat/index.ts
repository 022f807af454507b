import { Either } from "purify-ts";
import * as z from "zod";
import { parseAddress } from "../../ports/index.js";
import { Announcement, LoadReport } from "../../protocol/index.js";

/** A heartbeat that names no upstream to use. */
export class HeartbeatError extends Error {}

const heartbeatSchema = z.looseObject({
    /** The pool that the engine belongs to. */
    service: z.string().min(1),
    /** `IP:port` where it takes requests. */
    address: z.string().refine(text => parseAddress(text) !== undefined, "no IP:port"),
    zone: z.string().min(1),
    slots: z.int().min(1),
    state: z.enum(["ready", "draining"]),
    /** Counts this engine's heartbeats since its start. */
    sequence: z.int().min(0),
    /** When the engine started, in Unix milliseconds. */
    born: z.int().min(0).default(0),
    /** How much longer the engine stays cold after its start. */
    coldRemainingMs: z.number().min(0).default(0),
    /** Given by model engines only. */
    stage: z.string().optional(),
    /** The platform may take it back. */
    spot: z.boolean().optional(),
    /** How long until the platform takes it back. */
    leaves_ms: z.number().min(0).optional(),
});

/** These engines report no load with their heartbeats. */
const UNKNOWN_LOAD: LoadReport = { running: 0, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 };

/**
 * Turns a heartbeat into an announcement.
 *
 * @param id - From the path.
 */
export function readHeartbeat(id: string, body: Uint8Array): Either<HeartbeatError, Announcement> {
    return Either.encase(() => heartbeatSchema.parse(JSON.parse(Buffer.from(body).toString())))
        .mapLeft(err => new HeartbeatError(describe(err)))
        .map(beat => ({
            id,
            incarnation: beat.born,
            sequence: beat.sequence,
            state: beat.state === "draining" ? "leaving" : "ready",
            kind: beat.stage === undefined ? "service" : "engine",
            pools: [beat.service],
            zone: beat.zone,
            address: beat.address,
            slots: beat.slots,
            price_per_hour: 0,
            reclaimable: beat.spot ?? false,
            checks_fence: false,
            load: UNKNOWN_LOAD,
            ...(beat.coldRemainingMs > 0 ? { cold_ms: beat.coldRemainingMs } : {}),
            ...(beat.leaves_ms === undefined ? {} : { reclaim_in_ms: beat.leaves_ms }),
        }));
}

/** The last word of an engine that says only that it leaves: what it said before, ended. */
export function endAnnouncement(known: Announcement): Announcement {
    return { ...known, state: "gone", sequence: known.sequence + 1 };
}

function describe(err: Error): string {
    if (!(err instanceof z.ZodError)) return err.message;
    const [issue] = err.issues;
    return `${issue.path.join(".") || "heartbeat"}: ${issue.message}`;
}
