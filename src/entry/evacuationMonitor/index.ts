import { UpstreamId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import { UpstreamRegistry } from "../../upstream/index.js";

/** Interval at which running calls in evacuated zones are counted, in milliseconds. */
const COUNT_INTERVAL_MS = 1_000;

/** Options of `EvacuationMonitor`. */
export interface EvacuationMonitorOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly registry: Pick<UpstreamRegistry, "get">;
    /** Lists the upstreams of this entry's running calls, one item per call. */
    readonly listRunning: () => Iterable<UpstreamId>;
}

/** Logs and measures which zones this process knows to be evacuated, and how many of its calls still run there. */
export class EvacuationMonitor {
    private evacuatedZones: readonly ZoneId[] = [];
    /** Evacuated zones in which calls may still be running. */
    private readonly busyZones = new Set<ZoneId>();

    constructor(private readonly options: EvacuationMonitorOptions) {}

    /**
     * Applies a change of the evacuated zones.
     *
     * @param zones - All evacuated zones.
     * @param revision - Revision of the configuration that lists them.
     */
    setZones(zones: readonly ZoneId[], revision: number): void {
        const { logger, metrics } = this.options;
        for (const zone of zones.filter(each => !this.evacuatedZones.includes(each))) {
            logger.info("zone-evacuated", { zone, revision });
            metrics.gauge("zone_evacuated", 1, { zone });
            this.busyZones.add(zone);
        }
        for (const zone of this.evacuatedZones.filter(each => !zones.includes(each))) {
            logger.info("zone-restored", { zone, revision });
            metrics.gauge("zone_evacuated", 0, { zone });
            this.busyZones.delete(zone);
        }
        this.evacuatedZones = zones;
    }

    /** Counts and reports running calls until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(COUNT_INTERVAL_MS, signal);
            if (this.busyZones.size > 0) this.reportRunning();
        }
    }

    /** Stops reporting a zone after the first count of 0. */
    private reportRunning(): void {
        const { logger, metrics } = this.options;
        const running = this.countByZone();
        for (const zone of [...this.busyZones]) {
            const calls = running.get(zone) ?? 0;
            logger.info("zone-calls-running", { zone, calls });
            metrics.gauge("zone_calls_running", calls, { zone });
            if (calls === 0) this.busyZones.delete(zone);
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
