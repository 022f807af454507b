import { LocalDispatcher, SlotUse } from "../../dispatch/index.js";
import { PoolId, UpstreamId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics, MetricTags } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import { DispatchLog } from "../dispatchLog/index.js";

/** A grant that a request of this host uses. */
export interface UsedGrant {
    readonly pool: PoolId;
    readonly upstream: UpstreamId;
    /** Time since it was granted, in milliseconds. */
    readonly heldMs: number;
}

/** Options of `QueueMonitor`. */
export interface QueueMonitorOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly local: Pick<LocalDispatcher, "pools" | "describeSlots">;
    readonly decisions: Pick<DispatchLog, "takeCounts">;
    /** Lists the grants that requests of this host use, whoever owns their queue. */
    readonly listUsed: () => readonly UsedGrant[];
}

/** Interval between reports, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;

/**
 * Reports the slots that this host's queues count as taken, by the host that uses them, beside those that its own requests use, and what
 * keeps upstreams from getting requests. A queue that only refuses is logged.
 *
 * @example
 * lifecycle.run(signal => new QueueMonitor(options).run(signal), onError);
 */
export class QueueMonitor {
    /** Names and tags of the gauges that the last report set. */
    private reported = new Map<string, readonly [name: string, tags: MetricTags]>();

    constructor(private readonly options: QueueMonitorOptions) {}

    /** Reports until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(REPORT_INTERVAL_MS, signal);
            if (!signal.aborted) this.report();
        }
    }

    private report(): void {
        const { local } = this.options;
        const previous = this.reported;
        this.reported = new Map();
        for (const pool of local.pools()) {
            const use = local.describeSlots(pool);
            if (use) this.reportQueue(pool, use);
        }
        this.reportUsed();
        for (const [key, [name, tags]] of previous) {
            if (!this.reported.has(key)) this.options.metrics.gauge(name, 0, tags);
        }
    }

    private reportQueue(pool: PoolId, use: SlotUse): void {
        for (const [origin, count] of use.granted) this.gauge("slots_granted", count, { pool, origin });
        for (const [state, count] of use.upstreams) this.gauge("queue_upstreams", count, { pool, state });
        this.gauge("slots_granted_oldest_ms", Math.round(use.oldestMs), { pool });
        this.gauge("queue_waiting", use.waiting, { pool });
        const { granted, refused } = this.options.decisions.takeCounts(pool);
        if (refused === 0 || granted > 0) return;
        this.options.logger.warn("queue-only-refuses", {
            pool,
            refused,
            waiting: use.waiting,
            oldestMs: Math.round(use.oldestMs),
            granted: formatCounts(use.granted),
            upstreams: formatCounts(use.upstreams),
        });
    }

    private reportUsed(): void {
        const counts = new Map<PoolId, { count: number; oldestMs: number; }>();
        for (const { pool, heldMs } of this.options.listUsed()) {
            const { count, oldestMs } = counts.get(pool) ?? { count: 0, oldestMs: 0 };
            counts.set(pool, { count: count + 1, oldestMs: Math.max(oldestMs, heldMs) });
        }
        for (const [pool, { count, oldestMs }] of counts) {
            this.gauge("slots_used", count, { pool });
            this.gauge("slots_used_oldest_ms", Math.round(oldestMs), { pool });
        }
    }

    private gauge(name: string, value: number, tags: MetricTags): void {
        this.reported.set(JSON.stringify([name, tags]), [name, tags]);
        this.options.metrics.gauge(name, value, tags);
    }
}

/** Formats counts by name, the largest first. */
function formatCounts(counts: ReadonlyMap<string, number>): string {
    return [...counts].sort(([, a], [, b]) => b - a).map(([name, count]) => `${name} ${count}`).join(", ");
}
