import { DispatchObserver, WaitingTicket } from "../../dispatch/index.js";
import { UpstreamId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";

/**
 * Logs and counts the back-offs that a queue's owner decides on, with the host whose request began each of them, and the grants that it ends
 * since their requests must have ended.
 *
 * @example
 * const local = new LocalDispatcher({ ...options, observer: new DispatchLog(logger, metrics) });
 */
export class DispatchLog extends DispatchObserver {
    constructor(private readonly logger: Logger, private readonly metrics: Metrics) {
        super();
    }

    override backedOff({ ticket }: WaitingTicket, upstream: UpstreamId, backOffMs: number): void {
        const { pool, origin, request } = ticket;
        this.metrics.count("upstreams_rested", 1, { pool });
        this.logger.info("upstream-rested", { pool, upstream, origin, request, backOffMs });
    }

    override grantExpired({ ticket }: WaitingTicket, upstream: UpstreamId, heldMs: number): void {
        const { pool, origin, request } = ticket;
        this.metrics.count("grants_expired", 1, { pool, origin });
        this.logger.warn("grant-expired", { pool, upstream, origin, request, heldMs: Math.round(heldMs) });
    }
}
