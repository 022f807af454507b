import { PoolId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Upstream } from "../../upstream/index.js";

/** Options of `SoftwareMonitor`. */
export interface SoftwareMonitorOptions {
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** The software versions that serve one pool, each with its upstreams that may get work. */
type UpstreamsByVersion = Map<SoftwareVersion, Set<UpstreamId>>;

/**
 * Logs and measures which software versions serve each pool, as this process knows it. A large pool would fill the log if each upstream had
 * a line, so one is written when a version begins or ends to serve.
 *
 * @example
 * const monitor = new SoftwareMonitor({ logger, metrics });
 * registry.onChange(upstream => monitor.update(upstream));
 */
export class SoftwareMonitor {
    private readonly byPool = new Map<PoolId, UpstreamsByVersion>();
    /** Pool and version of those that serve, as logged. */
    private readonly logged = new Set<string>();

    constructor(private readonly options: SoftwareMonitorOptions) {}

    /** Applies a change of an upstream. */
    update(upstream: Upstream): void {
        for (const pool of upstream.pools) this.updatePool(pool, upstream);
    }

    private updatePool(pool: PoolId, { id, isGrantable, software }: Upstream): void {
        const versions = this.byPool.get(pool) ?? new Map<SoftwareVersion, Set<UpstreamId>>();
        this.byPool.set(pool, versions);
        for (const [version, upstreams] of [...versions]) {
            if (isGrantable && version === software) continue;
            if (upstreams.delete(id)) this.report(pool, versions, version, upstreams);
        }
        if (!isGrantable || software === undefined) return;
        const upstreams = versions.get(software) ?? new Set<UpstreamId>();
        if (upstreams.has(id)) return;
        versions.set(software, upstreams.add(id));
        this.report(pool, versions, software, upstreams);
    }

    private report(
        pool: PoolId,
        versions: UpstreamsByVersion,
        software: SoftwareVersion,
        upstreams: ReadonlySet<UpstreamId>,
    ): void {
        const { logger, metrics } = this.options;
        metrics.gauge("upstreams_by_software", upstreams.size, { pool, software });
        if (upstreams.size === 0) versions.delete(software);
        const isNew = upstreams.size === 1 && !this.logged.has(`${pool} ${software}`);
        if (!isNew && upstreams.size > 0) return;
        if (isNew) this.logged.add(`${pool} ${software}`);
        else this.logged.delete(`${pool} ${software}`);
        logger.info("software-changed", {
            pool,
            software,
            upstreams: upstreams.size,
            serving: [...versions.keys()].join(" "),
        });
    }
}
