import { PoolId } from "../../ids/index.js";
import { TierDemand } from "../purchasePolicy/index.js";

/** How a forecast weighs what it saw. */
export interface ForecastSettings {
    /** Time over which the level is smoothed, in milliseconds. */
    readonly levelMs: number;
    /** Time in which a peak is half forgotten, in milliseconds. */
    readonly peakHalfLifeMs: number;
    /** The share of a remembered peak that is kept ready. */
    readonly peakShare: number;
    /** How long an upstream takes to start, in milliseconds: the forecast looks that far ahead. */
    readonly startMs: number;
}

/** Follows a rise within seconds and forgets a peak within a quarter of an hour. */
export const DEFAULT_FORECAST: ForecastSettings = {
    levelMs: 10_000,
    peakHalfLifeMs: 900_000,
    peakShare: 0.6,
    startMs: 30_000,
};

interface Series {
    readonly pool: PoolId;
    readonly tier: number;
    level: number;
    trend: number;
    peak: number;
    seenAt: number;
}

/** Forecasts the slots that each tier of each pool will need when an upstream ordered now is ready. */
export class DemandForecast {
    private readonly series = new Map<string, Series>();

    constructor(private readonly settings: ForecastSettings = DEFAULT_FORECAST) {}

    /**
     * Takes a measurement.
     *
     * @param demand - Slots that the tier needs now: its arrivals in a millisecond times how long each holds a slot.
     * @param now - Wall time, in milliseconds.
     */
    learn(demand: TierDemand, now: number): void {
        const key = `${demand.pool}\n${demand.tier}`;
        const known = this.series.get(key);
        if (!known) {
            const { pool, tier, slots } = demand;
            this.series.set(key, { pool, tier, level: slots, trend: 0, peak: slots, seenAt: now });
            return;
        }
        const passedMs = Math.max(1, now - known.seenAt);
        const weight = 1 - Math.exp(-passedMs / this.settings.levelMs);
        const level = known.level + weight * (demand.slots - known.level);
        known.trend += weight * ((level - known.level) / passedMs - known.trend);
        known.level = level;
        known.peak = Math.max(level, known.peak * 0.5 ** (passedMs / this.settings.peakHalfLifeMs));
        known.seenAt = now;
    }

    /** The demand of each tier of each pool, one start-up time ahead. */
    forecast(): readonly TierDemand[] {
        return [...this.series.values()].map(({ pool, tier, level, trend, peak }) => {
            const ahead = level + Math.max(0, trend) * this.settings.startMs;
            return { pool, tier, slots: Math.max(ahead, this.settings.peakShare * peak) };
        });
    }
}
