import { PoolId } from "../../../ids/index.js";
import { DemandForecast, TierDemand } from "../../../purchase/index.js";
import { ClassShape, Deployment } from "../deployment/index.js";
import { START_MS } from "../platformFake/index.js";
import { BATCH_SLOWDOWN, PlannedRequest } from "../traffic/index.js";

const WINDOW_MS = 2_000;
const MEAN_OF_MEDIAN = 1.13;

/** Measures each class's demand from its arrivals, as entries report them, and forecasts it. */
export class DemandMeter {
    private readonly forecastOf = new DemandForecast({
        levelMs: 3_000,
        peakHalfLifeMs: 60_000,
        peakShare: 0.6,
        startMs: START_MS,
    });

    constructor(private readonly deployment: Deployment, private readonly requests: readonly PlannedRequest[]) {}

    /** The demand that the templates' steady traffic would bring. */
    steady(): readonly TierDemand[] {
        return this.deployment.classes.map(shape => this.demandOf(shape, shape.perSecond));
    }

    /** Looks at the arrivals up to now; the forecast follows. */
    forecast(nowMs: number): readonly TierDemand[] {
        for (const shape of this.deployment.classes) {
            const arrived = this.requests.filter(request =>
                request.shape === shape && request.atMs > nowMs - WINDOW_MS && request.atMs <= nowMs
            ).length;
            this.forecastOf.learn(this.demandOf(shape, arrived / WINDOW_MS * 1_000), nowMs);
        }
        return this.forecastOf.forecast();
    }

    private demandOf(shape: ClassShape, perSecond: number): TierDemand {
        const pool = this.deployment.pools.find(other => other.pool === shape.pool)!;
        const answerMs = shape.answerTokens * MEAN_OF_MEDIAN * pool.tokenMs * (1 + BATCH_SLOWDOWN);
        const slotMs = answerMs + shape.promptTokens * pool.prefillTokenMs / 2;
        return { pool: shape.pool as PoolId, tier: shape.tier, slots: perSecond * slotMs / 1_000 };
    }
}
