import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId } from "../../ids/index.js";
import { DEFAULT_FORECAST, DemandForecast } from "./index.js";

const POOL = "draft" as PoolId;

function feedDemand(forecast: DemandForecast, slots: (second: number) => number, fromS: number, toS: number): number {
    for (let second = fromS; second < toS; second++) {
        forecast.observe({ pool: POOL, tier: 0, slots: slots(second) }, second * 1_000);
    }
    return forecast.forecast()[0].slots;
}

describe("DemandForecast", () => {
    it("converges on constant demand", () => {
        assert.ok(Math.abs(feedDemand(new DemandForecast(), () => 40, 0, 120) - 40) < 1);
    });

    it("extrapolates rising demand by the start-up time", () => {
        const forecastSlots = feedDemand(new DemandForecast(), second => second, 0, 120);
        assert.ok(forecastSlots > 120 && forecastSlots < 120 + DEFAULT_FORECAST.startMs / 1_000, String(forecastSlots));
    });

    it("keeps a share of a recent peak, which decays", () => {
        const forecast = new DemandForecast();
        feedDemand(forecast, () => 100, 0, 120);
        assert.ok(feedDemand(forecast, () => 10, 120, 240) > 50);
        assert.ok(feedDemand(forecast, () => 10, 240, 7_200) < 11);
    });
});
