import { PoolId, RequestId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { SendBlock } from "../sendGuard/index.js";
import { Grant } from "../ticket/index.js";

/** A grant that is not used. */
export interface DeclinedGrant {
    readonly request: RequestId;
    readonly pool: PoolId;
    readonly grant: Grant;
    readonly block: SendBlock;
    /** Whether the request waits for another grant, or is refused. */
    readonly outcome: "submitted-again" | "refused";
}

/** Logs and counts a grant that is not used because nothing may be sent to its upstream. */
export function recordDecline(
    { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics; },
    { request, pool, grant, block, outcome }: DeclinedGrant,
): void {
    const { upstream, decidedBy } = grant;
    const { reason, leftMs, ageMs } = block;
    metrics.count("grants_declined", 1, { pool, reason });
    logger.info("grant-declined", { request, upstream, decidedBy, reason, leftMs, ageMs, outcome });
}
