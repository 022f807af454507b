import { DispatchObserver, WaitingTicket } from "../../dispatch/index.js";
import { PoolId, UpstreamId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";

/** Numbers of decisions on tickets. */
export interface DecisionCounts {
    granted: number;
    refused: number;
}

/**
 * Logs and counts the back-offs that a queue's owner decides on, with the host whose request began each of them, and the grants that it ends
 * since their requests must have ended.
 *
 * @example
 * const local = new LocalDispatcher({ ...options, observer: new DispatchLog(logger, metrics) });
 */
export class DispatchLog extends DispatchObserver {
    private readonly counts = new Map<PoolId, DecisionCounts>();

    constructor(private readonly logger: Logger, private readonly metrics: Metrics) {
        super();
    }

    /** Returns the numbers of decisions on tickets of a pool since the last call. */
    takeCounts(pool: PoolId): DecisionCounts {
        const counts = this.countsOf(pool);
        this.counts.delete(pool);
        return counts;
    }

    override granted({ ticket: { pool } }: WaitingTicket): void {
        this.countsOf(pool).granted++;
    }

    override refused({ ticket: { pool } }: WaitingTicket): void {
        this.countsOf(pool).refused++;
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

    private countsOf(pool: PoolId): DecisionCounts {
        const known = this.counts.get(pool);
        if (known) return known;
        const counts = { granted: 0, refused: 0 };
        this.counts.set(pool, counts);
        return counts;
    }
}
