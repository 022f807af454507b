import { Grant, LocalDispatcher } from "../../dispatch/index.js";
import { HostId, PoolId, UpstreamId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import { RequestLimit, RequestLimits } from "../../upstream/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";
import { DISPATCH_METHODS, LimitNotice } from "../ticketServer/index.js";

/** Options of `RequestLimitExchange`. */
export interface RequestLimitExchangeOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: HostId;
    readonly directory: Pick<PeerDirectory, "linkTo">;
    readonly local: Pick<LocalDispatcher, "recordLimit">;
    /** Returns the owner of a pool's queue. */
    readonly ownerOf: (pool: PoolId) => HostId;
}

/**
 * Shares the request limits that upstreams set for all hosts together. Upstreams' answers report limits to this host, which reports them to
 * the owners of the queues; grants bring this host the limits that other hosts received.
 *
 * @example
 * exchange.recordAnswer(pool, upstream, 2.5);
 * const limits = exchange.list(pool);
 */
export class RequestLimitExchange {
    private readonly limits: RequestLimits;

    constructor(private readonly options: RequestLimitExchangeOptions) {
        this.limits = new RequestLimits(options.clock);
    }

    /** Records the limit in an upstream's answer, and reports a change to the owner of the pool's queue. */
    recordAnswer(pool: PoolId, upstream: UpstreamId, perSecond: number | undefined): void {
        const { self, local, directory, ownerOf } = this.options;
        if (!this.record(pool, upstream, perSecond, 0)) return;
        local.recordLimit(pool, upstream, perSecond);
        const owner = ownerOf(pool);
        const notice: LimitNotice = { pool, upstream, perSecond };
        if (owner !== self) directory.linkTo(owner)?.notify(DISPATCH_METHODS.limit, notice);
    }

    /** Records the limit in a grant. */
    recordGrant(pool: PoolId, { upstream, limit }: Grant): void {
        if (!limit) return;
        this.options.metrics.count("grants_limited", 1, { pool });
        this.record(pool, upstream, limit.perSecond, limit.ageMs);
    }

    /** Lists the known limits of a pool's upstreams. */
    list(pool: PoolId): readonly RequestLimit[] {
        return this.limits.list(pool);
    }

    /** Drops the limits of an upstream that has ended. */
    forget(upstream: UpstreamId): void {
        this.limits.forget(upstream);
    }

    /** @returns Whether the limit is a change. */
    private record(pool: PoolId, upstream: UpstreamId, perSecond: number | undefined, ageMs: number): boolean {
        const { logger, metrics } = this.options;
        const change = this.limits.record(pool, upstream, perSecond, ageMs);
        if (!change) return false;
        logger.info("request-limit", { upstream, pool, change, perSecond, ageMs: Math.round(ageMs) });
        metrics.gauge("upstreams_limited", this.limits.size);
        return true;
    }
}
