import { DepartureNotice } from "../../discovery/index.js";
import { AnswerSignals, Grant, LocalDispatcher, SendBlock, SendGuard } from "../../dispatch/index.js";
import { HostId, PoolId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import {
    BackOff,
    BackOffs,
    GrantedUpstream,
    RequestLimit,
    RequestLimits,
    SoftwareView,
    UpstreamRegistry,
} from "../../upstream/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";
import { BackOffNotice, DISPATCH_METHODS, LimitNotice } from "../ticketServer/index.js";

/** Options of `SignalExchange`. */
export interface SignalExchangeOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: HostId;
    readonly directory: Pick<PeerDirectory, "linkTo">;
    readonly registry: Pick<UpstreamRegistry, "get" | "isDeparting" | "markLeaving">;
    readonly software: Pick<SoftwareView, "find">;
    readonly local: Pick<LocalDispatcher, "recordLimit" | "recordRejectionLimit" | "recordBackOff">;
    /** Reports an upstream's departure to other hosts. */
    readonly reportDeparture: (pool: PoolId, departure: DepartureNotice) => void;
    /** Returns the owner of a pool's queue. */
    readonly ownerOf: (pool: PoolId) => HostId;
}

/** What a limit is on: requests that an upstream accepts, or requests that it can turn away. */
type LimitKind = "requests" | "rejections";

/** Log events, gauge and notice to the owner of a queue of each kind of limit. */
const LIMIT_EVENTS = {
    requests: {
        change: "request-limit",
        unreadable: "request-limit-unreadable",
        gauge: "upstreams_limited",
        method: DISPATCH_METHODS.limit,
    },
    rejections: {
        change: "rejection-limit",
        unreadable: "rejection-limit-unreadable",
        gauge: "upstreams_brittle",
        method: DISPATCH_METHODS.rejectionLimit,
    },
} as const;

/**
 * What upstreams state about themselves in their answers, as this host knows it. Answers to this host report it to the
 * owners of the queues; grants bring this host the request limits that other hosts received.
 *
 * @example
 * exchange.recordAnswer({ pool, upstream, request, signals });
 * const limits = exchange.listLimits(pool);
 */
export class SignalExchange extends SendGuard {
    private readonly limits: Readonly<Record<LimitKind, RequestLimits>>;
    private readonly backOffs: BackOffs;

    constructor(private readonly options: SignalExchangeOptions) {
        super();
        const { clock } = options;
        this.limits = { requests: new RequestLimits(clock), rejections: new RequestLimits(clock) };
        this.backOffs = new BackOffs(options.clock);
    }

    recordAnswer(answer: AnswerSignals): void {
        const { upstream, request, signals: { requestLimit, rejectionLimit, backOffMs, isLeaving } } = answer;
        const { logger } = this.options;
        this.recordLimit("requests", answer, requestLimit);
        this.recordLimit("rejections", answer, rejectionLimit);
        if (Number.isNaN(backOffMs)) logger.warn("back-off-unreadable", { upstream, request });
        else if (backOffMs !== undefined) this.recordBackOff(answer, backOffMs);
        if (isLeaving) this.recordDeparture(answer);
    }

    findBlock(grant: GrantedUpstream, software?: SoftwareVersion): SendBlock | undefined {
        const { registry, software: softwareView } = this.options;
        const { upstream: id, incarnation } = grant;
        if (registry.isDeparting(id, incarnation)) return { reason: "leaving" };
        if (registry.get(id)?.isZoneEvacuated) return { reason: "zone-evacuated" };
        if (software !== undefined && softwareView.find(grant) !== software) return { reason: "other-software" };
        const backOff = this.backOffs.find(id);
        return backOff && { reason: "backing-off", ...backOff };
    }

    /** Records the limits in a grant. */
    recordGrant(pool: PoolId, { upstream, limit, rejectionLimit }: Grant): void {
        if (limit || rejectionLimit) this.options.metrics.count("grants_limited", 1, { pool });
        if (limit) this.updateLimit("requests", pool, upstream, limit.perSecond, limit.ageMs);
        if (rejectionLimit) {
            this.updateLimit("rejections", pool, upstream, rejectionLimit.perSecond, rejectionLimit.ageMs);
        }
    }

    /** Lists the known limits on requests of a pool's upstreams. */
    listLimits(pool: PoolId): readonly RequestLimit[] {
        return this.limits.requests.list(pool);
    }

    /** Lists the known limits on rejections of a pool's upstreams. */
    listRejectionLimits(pool: PoolId): readonly RequestLimit[] {
        return this.limits.rejections.list(pool);
    }

    /** Lists the current back-offs from a pool's upstreams. */
    listBackOffs(pool: PoolId): readonly BackOff[] {
        return this.backOffs.list(pool);
    }

    /** Drops what an upstream that has ended stated. */
    forget(upstream: UpstreamId): void {
        this.limits.requests.forget(upstream);
        this.limits.rejections.forget(upstream);
        this.backOffs.forget(upstream);
    }

    /** Records that an answer states a departure, which holds for all hosts: the first such answer is reported to them. */
    private recordDeparture({ pool, upstream, request, incarnation }: AnswerSignals): void {
        const { registry, logger, metrics, reportDeparture } = this.options;
        const departing = incarnation ?? registry.get(upstream)?.announcement.incarnation;
        if (departing === undefined || !registry.markLeaving(upstream, departing)) return;
        metrics.count("departures_stated", 1, { pool });
        logger.info("upstream-leaving", { request, upstream, pool, incarnation: departing });
        reportDeparture(pool, { id: upstream, incarnation: departing });
    }

    /** Records that an answer asks this host to back off, and tells the owner of the pool's queue. */
    private recordBackOff({ pool, upstream, request }: AnswerSignals, backOffMs: number): void {
        const { self, local, directory, ownerOf, logger, metrics } = this.options;
        const isNew = this.backOffs.record(pool, upstream, backOffMs);
        metrics.count("back_offs", 1, { pool, change: isNew ? "yes" : "no" });
        logger.info("back-off", { request, upstream, pool, backOffMs, isNew });
        const backOff = this.backOffs.find(upstream);
        if (!isNew || !backOff) return;
        metrics.gauge("upstreams_backing_off", this.backOffs.size);
        const notice: BackOffNotice = { pool, host: self, backOff: { upstream, leftMs: backOff.leftMs } };
        local.recordBackOff(pool, self, notice.backOff);
        const owner = ownerOf(pool);
        if (owner !== self) directory.linkTo(owner)?.notify(DISPATCH_METHODS.backOff, notice);
    }

    /** Records a limit in an upstream's answer, and reports a change to the owner of the pool's queue. */
    private recordLimit(kind: LimitKind, answer: AnswerSignals, perSecond: number | undefined): void {
        const { self, local, directory, ownerOf, logger } = this.options;
        const { pool, upstream, request } = answer;
        if (Number.isNaN(perSecond)) return logger.warn(LIMIT_EVENTS[kind].unreadable, { upstream, request });
        // The answer to a query of this system's own may leave out a limit that still applies.
        if (perSecond === undefined && request === undefined) return;
        if (!this.updateLimit(kind, pool, upstream, perSecond, 0)) return;
        if (kind === "requests") local.recordLimit(pool, upstream, perSecond);
        else local.recordRejectionLimit(pool, upstream, perSecond);
        const owner = ownerOf(pool);
        const notice: LimitNotice = { pool, upstream, perSecond };
        if (owner !== self) directory.linkTo(owner)?.notify(LIMIT_EVENTS[kind].method, notice);
    }

    /** @returns Whether the limit is a change. */
    private updateLimit(
        kind: LimitKind,
        pool: PoolId,
        upstream: UpstreamId,
        perSecond: number | undefined,
        ageMs: number,
    ): boolean {
        const { logger, metrics } = this.options;
        const limits = this.limits[kind];
        const change = limits.record(pool, upstream, perSecond, ageMs);
        if (!change) return false;
        logger.info(LIMIT_EVENTS[kind].change, { upstream, pool, change, perSecond, ageMs: Math.round(ageMs) });
        metrics.gauge(LIMIT_EVENTS[kind].gauge, limits.size);
        return true;
    }
}
