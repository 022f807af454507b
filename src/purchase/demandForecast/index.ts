import { PoolId } from "../../ids/index.js";
import { TierDemand } from "../purchasePolicy/index.js";

/** Smoothing, peak memory and look-ahead of a forecast. */
export interface ForecastSettings {
    /** Time constant of the exponential smoothing of level and trend, in milliseconds. */
    readonly smoothingMs: number;
    /** Half-life of a remembered peak, in milliseconds. */
    readonly peakHalfLifeMs: number;
    /** Share of the remembered peak that is the lower bound of a forecast. */
    readonly peakShare: number;
    /** Start-up time of an upstream, in milliseconds: the forecast looks this far ahead. */
    readonly startMs: number;
}

/** Follows a rise within seconds; a peak decays to half within a quarter of an hour. */
export const DEFAULT_FORECAST: ForecastSettings = {
    smoothingMs: 10_000,
    peakHalfLifeMs: 900_000,
    peakShare: 0.6,
    startMs: 30_000,
};

/** Smoothed demand of one tier of a pool. */
interface DemandSeries {
    readonly pool: PoolId;
    readonly tier: number;
    /** Smoothed slots. */
    level: number;
    /** Smoothed change of the level, in slots per millisecond. */
    trend: number;
    /** Decaying maximum of the level, in slots. */
    peak: number;
    /** Wall time of the last measurement, in milliseconds. */
    updatedAt: number;
}

/**
 * Forecasts the slots that each tier of each pool will need by the time an upstream ordered now is ready: smoothed level plus rising
 * trend, but at least a share of a recent peak.
 */
export class DemandForecast {
    private readonly seriesByTier = new Map<string, DemandSeries>();

    constructor(private readonly settings: ForecastSettings = DEFAULT_FORECAST) {}

    /**
     * Adds a measurement.
     *
     * @param demand - Slots that the tier needs now: its arrivals per millisecond times the milliseconds for which each holds a slot.
     * @param now - Wall time, in milliseconds.
     */
    observe(demand: TierDemand, now: number): void {
        const key = `${demand.pool}\n${demand.tier}`;
        const series = this.seriesByTier.get(key);
        if (!series) {
            const { pool, tier, slots } = demand;
            this.seriesByTier.set(key, { pool, tier, level: slots, trend: 0, peak: slots, updatedAt: now });
            return;
        }
        const elapsedMs = Math.max(1, now - series.updatedAt);
        const weight = 1 - Math.exp(-elapsedMs / this.settings.smoothingMs);
        const level = series.level + weight * (demand.slots - series.level);
        series.trend += weight * ((level - series.level) / elapsedMs - series.trend);
        series.level = level;
        series.peak = Math.max(level, series.peak * 0.5 ** (elapsedMs / this.settings.peakHalfLifeMs));
        series.updatedAt = now;
    }

    /** Returns the forecast demand of each tier of each pool, one start-up time ahead. */
    forecast(): readonly TierDemand[] {
        return [...this.seriesByTier.values()].map(({ pool, tier, level, trend, peak }) => {
            const extrapolated = level + Math.max(0, trend) * this.settings.startMs;
            return { pool, tier, slots: Math.max(extrapolated, this.settings.peakShare * peak) };
        });
    }
}
