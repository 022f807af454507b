import { Attempt } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";

/** Why an answer that is a stream does not prove to be a part of its call's stream. */
export interface StreamFault {
    readonly kind: string;
    readonly detail: string;
}

/**
 * Logs and counts a fault in an upstream's stream, with what the caller has of the stream. The stream's text is not logged.
 *
 * @example
 * if (error) recordUnproven(ctx, attempt, { kind: error.kind, detail: error.message });
 */
export function recordUnproven(ctx: CallContext, attempt: Attempt, { kind, detail }: StreamFault): void {
    const { call, grant, relay, stream } = attempt;
    ctx.metrics.count("streams_unproven", 1, { pool: call.pool, kind });
    ctx.logger.warn("stream-unproven", {
        request: call.head.request,
        fingerprint: call.fingerprint,
        route: call.route.name,
        pool: call.pool,
        upstream: grant.upstream,
        incarnation: grant.incarnation,
        software: ctx.software.find(grant),
        relay,
        kind,
        detail,
        events: stream.eventCount,
        lastId: stream.lastEventId,
        resumes: call.head.lastEventId,
    });
}
