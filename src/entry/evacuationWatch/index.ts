import { UpstreamId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import { UpstreamRegistry } from "../../upstream/index.js";

/** How often what still runs in evacuated zones is counted, in milliseconds. */
const COUNT_EVERY_MS = 1_000;

/** What the watch works with. */
export interface EvacuationWatchOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly registry: Pick<UpstreamRegistry, "get">;
    /** The upstreams of this entry's running calls, one for each call. */
    readonly listRunning: () => Iterable<UpstreamId>;
}

/** Tells operators which zones are evacuated, as this process knows it, and how many of its calls still run there. */
export class EvacuationWatch {
    private evacuated: readonly ZoneId[] = [];
    /** Evacuated zones in which calls may still be running. */
    private readonly busy = new Set<ZoneId>();

    constructor(private readonly options: EvacuationWatchOptions) {}

    /**
     * Takes over the evacuated zones.
     *
     * @param zones - All of them.
     * @param revision - The configuration that says so.
     */
    setZones(zones: readonly ZoneId[], revision: number): void {
        const { logger, metrics } = this.options;
        for (const zone of zones.filter(each => !this.evacuated.includes(each))) {
            logger.info("zone-evacuated", { zone, revision });
            metrics.gauge("zone_evacuated", 1, { zone });
            this.busy.add(zone);
        }
        for (const zone of this.evacuated.filter(each => !zones.includes(each))) {
            logger.info("zone-restored", { zone, revision });
            metrics.gauge("zone_evacuated", 0, { zone });
            this.busy.delete(zone);
        }
        this.evacuated = zones;
    }

    /** Counts until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(COUNT_EVERY_MS, signal);
            if (this.busy.size > 0) this.count();
        }
    }

    /** A zone in which nothing runs any more is reported once. */
    private count(): void {
        const { logger, metrics } = this.options;
        const running = this.countByZone();
        for (const zone of [...this.busy]) {
            const calls = running.get(zone) ?? 0;
            logger.info("zone-calls-running", { zone, calls });
            metrics.gauge("zone_calls_running", calls, { zone });
            if (calls === 0) this.busy.delete(zone);
        }
    }

    private countByZone(): Map<ZoneId, number> {
        const { registry, listRunning } = this.options;
        const counts = new Map<ZoneId, number>();
        for (const id of listRunning()) {
            const zone = registry.get(id)?.zone;
            if (zone !== undefined) counts.set(zone, (counts.get(zone) ?? 0) + 1);
        }
        return counts;
    }
}
