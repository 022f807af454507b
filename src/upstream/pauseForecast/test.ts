import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PrefillModel, PrefillWork } from "../prefillModel/index.js";
import { ReadingStretch } from "../readingHistory/index.js";
import { PauseForecast } from "./index.js";

const EVENT_TOKENS = 3;

/** 32 prompt tokens a millisecond, and a millisecond for each million pairs of tokens. */
class FixedModel extends PrefillModel {
    override readMs({ tokens, held }: PrefillWork): number {
        return tokens / 32 + tokens * (held + tokens / 2) / 1_000_000;
    }
}

function stretch(ms: number, promptTokens: number): ReadingStretch {
    return { startsAt: 0, endsAt: ms, promptTokens };
}

describe("PauseForecast", () => {
    it("takes short reading for a pause of the same length", () => {
        assert.equal(new PauseForecast(new FixedModel()).predictMs(stretch(90, 3_000), EVENT_TOKENS), 90);
    });

    it("expects no longer pause than the chunks that fall on one event, however long the reading lasts", () => {
        // Three chunks of 2,048 tokens are read between two events; the end of a long prompt takes longer for each of them.
        const forecast = new PauseForecast(new FixedModel());
        const short = forecast.predictMs(stretch(5_000, 2_048), EVENT_TOKENS);
        const long = forecast.predictMs(stretch(5_000, 12_000), EVENT_TOKENS);
        assert.ok(short > 190 && short < 205, `${short} ms`);
        assert.ok(long > short + 50, `${long} ms`);
    });

    it("is unsure of pauses that come close to the longest allowed one", () => {
        const forecast = new PauseForecast(new FixedModel());
        const chances = [100, 200, 240, 400].map(ms => forecast.chanceTooLong(stretch(ms, 20_000), EVENT_TOKENS, 220));
        assert.equal(chances[0], 0);
        assert.ok(chances[1] > 0 && chances[1] < 0.5 && chances[2] > 0.5 && chances[2] < 1, chances.join(" "));
        assert.equal(chances[3], 1);
    });

    it("learns the size of the chunks from the pauses of streams", () => {
        const forecast = new PauseForecast(new FixedModel());
        for (let i = 0; i < 200; i++) forecast.learn(stretch(2_000, 512), EVENT_TOKENS, 48 + i % 3);
        const pauseMs = forecast.predictMs(stretch(5_000, 512), EVENT_TOKENS);
        assert.ok(pauseMs > 40 && pauseMs < 60, `${pauseMs} ms`);
    });

    it("learns nothing from streams beside which little was read", () => {
        const forecast = new PauseForecast(new FixedModel());
        const before = forecast.predictMs(stretch(5_000, 2_048), EVENT_TOKENS);
        for (let i = 0; i < 200; i++) forecast.learn(stretch(60, 2_048), EVENT_TOKENS, 60);
        assert.equal(forecast.predictMs(stretch(5_000, 2_048), EVENT_TOKENS), before);
    });
});
