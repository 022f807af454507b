import { PoolId } from "../../../ids/index.js";
import { DemandForecast, TierDemand } from "../../../purchase/index.js";
import { ClassProfile, Deployment } from "../deployment/index.js";
import { UPSTREAM_START_MS } from "../platformFake/index.js";
import { BATCH_SLOWDOWN, PlannedRequest } from "../traffic/index.js";

/** Length of the sliding window over which arrival rates are measured. */
const ARRIVAL_WINDOW_MS = 2_000;
/** Ratio of the mean to the median of the log-normal answer lengths. */
const MEAN_TO_MEDIAN_RATIO = 1.13;

/** Measures the demand of each class in slots from its request arrivals, as entries report it, and forecasts it. */
export class DemandMeter {
    private readonly demandForecast = new DemandForecast({
        smoothingMs: 3_000,
        peakHalfLifeMs: 60_000,
        peakShare: 0.6,
        startMs: UPSTREAM_START_MS,
    });

    constructor(private readonly deployment: Deployment, private readonly requests: readonly PlannedRequest[]) {}

    /** Returns the demand of the classes' steady traffic, without bursts. */
    steady(): readonly TierDemand[] {
        return this.deployment.classes.map(profile => this.demandOf(profile, profile.perSecond));
    }

    /** Updates the forecast with the arrivals of the last window and returns it. */
    forecast(nowMs: number): readonly TierDemand[] {
        for (const profile of this.deployment.classes) {
            const arrivals = this.requests.filter(request =>
                request.classProfile === profile && request.atMs > nowMs - ARRIVAL_WINDOW_MS && request.atMs <= nowMs
            ).length;
            this.demandForecast.observe(this.demandOf(profile, arrivals / ARRIVAL_WINDOW_MS * 1_000), nowMs);
        }
        return this.demandForecast.forecast();
    }

    private demandOf(profile: ClassProfile, perSecond: number): TierDemand {
        const pool = this.deployment.pools.find(candidate => candidate.pool === profile.pool)!;
        const answerMs = profile.answerTokens * MEAN_TO_MEDIAN_RATIO * pool.tokenMs * (1 + BATCH_SLOWDOWN);
        const slotMs = answerMs + profile.promptTokens * pool.prefillTokenMs / 2;
        return { pool: profile.pool as PoolId, tier: profile.tier, slots: perSecond * slotMs / 1_000 };
    }
}
