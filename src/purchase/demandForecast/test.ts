import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId } from "../../ids/index.js";
import { DEFAULT_FORECAST, DemandForecast } from "./index.js";

const POOL = "draft" as PoolId;

function play(forecast: DemandForecast, slots: (second: number) => number, fromS: number, toS: number): number {
    for (let second = fromS; second < toS; second++) {
        forecast.learn({ pool: POOL, tier: 0, slots: slots(second) }, second * 1_000);
    }
    return forecast.forecast()[0].slots;
}

describe("DemandForecast", () => {
    it("says what steady demand is", () => {
        assert.ok(Math.abs(play(new DemandForecast(), () => 40, 0, 120) - 40) < 1);
    });

    it("runs ahead of rising demand by the start-up time", () => {
        const ahead = play(new DemandForecast(), second => second, 0, 120);
        assert.ok(ahead > 120 && ahead < 120 + DEFAULT_FORECAST.startMs / 1_000, String(ahead));
    });

    it("keeps a share of a peak ready and forgets it in time", () => {
        const forecast = new DemandForecast();
        play(forecast, () => 100, 0, 120);
        assert.ok(play(forecast, () => 10, 120, 240) > 50);
        assert.ok(play(forecast, () => 10, 240, 7_200) < 11);
    });
});
