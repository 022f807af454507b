import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PrefillPeriod } from "../prefillHistory/index.js";
import { PrefillModel, PrefillWork } from "../prefillModel/index.js";
import { PauseForecast } from "./index.js";

const EVENT_TOKENS = 3;

/** 32 prompt tokens per millisecond, and one millisecond per million token pairs. */
class FixedModel extends PrefillModel {
    override prefillMs({ tokens, held }: PrefillWork): number {
        return tokens / 32 + tokens * (held + tokens / 2) / 1_000_000;
    }
}

function makePeriod(durationMs: number, promptTokens: number): PrefillPeriod {
    return { startsAt: 0, endsAt: durationMs, promptTokens };
}

describe("PauseForecast", () => {
    it("predicts a pause as long as a short prefill", () => {
        assert.equal(new PauseForecast(new FixedModel()).predictPauseMs(makePeriod(90, 3_000), EVENT_TOKENS), 90);
    });

    it("bounds a pause by the chunks that fall within one event, however long the prefill lasts", () => {
        // Three chunks of 2,048 tokens fall between two events; each takes longer towards the end of a long prompt.
        const forecast = new PauseForecast(new FixedModel());
        const short = forecast.predictPauseMs(makePeriod(5_000, 2_048), EVENT_TOKENS);
        const long = forecast.predictPauseMs(makePeriod(5_000, 12_000), EVENT_TOKENS);
        assert.ok(short > 190 && short < 205, `${short} ms`);
        assert.ok(long > short + 50, `${long} ms`);
    });

    it("returns a probability between 0 and 1 for pauses close to the longest allowed one", () => {
        const forecast = new PauseForecast(new FixedModel());
        const chances = [100, 200, 240, 400].map(ms =>
            forecast.overrunProbability(makePeriod(ms, 20_000), EVENT_TOKENS, 220)
        );
        assert.equal(chances[0], 0);
        assert.ok(chances[1] > 0 && chances[1] < 0.5 && chances[2] > 0.5 && chances[2] < 1, chances.join(" "));
        assert.equal(chances[3], 1);
    });

    it("learns the size of the chunks from the pauses of streams", () => {
        const forecast = new PauseForecast(new FixedModel());
        for (let i = 0; i < 200; i++) forecast.learn(makePeriod(2_000, 512), EVENT_TOKENS, 48 + i % 3);
        const pauseMs = forecast.predictPauseMs(makePeriod(5_000, 512), EVENT_TOKENS);
        assert.ok(pauseMs > 40 && pauseMs < 60, `${pauseMs} ms`);
    });

    it("learns nothing from streams with little prefill beside them", () => {
        const forecast = new PauseForecast(new FixedModel());
        const before = forecast.predictPauseMs(makePeriod(5_000, 2_048), EVENT_TOKENS);
        for (let i = 0; i < 200; i++) forecast.learn(makePeriod(60, 2_048), EVENT_TOKENS, 60);
        assert.equal(forecast.predictPauseMs(makePeriod(5_000, 2_048), EVENT_TOKENS), before);
    });
});
