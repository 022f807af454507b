import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PrefillHistory, PrefillPeriod } from "./index.js";

const longerThan = (minMs: number) => ({ startsAt, endsAt }: PrefillPeriod): number =>
    endsAt - startsAt > minMs ? 1 : 0;

describe("PrefillHistory", () => {
    it("counts prompts that follow each other without a break as one period", () => {
        const history = new PrefillHistory();
        history.record(200, 3_000, 0);
        assert.deepEqual(history.extend(350, 800, 100), { startsAt: 0, endsAt: 350, promptTokens: 3_000 });
        assert.deepEqual(history.extend(350, 800, 300), { startsAt: 300, endsAt: 350, promptTokens: 800 });
    });

    it("predicts long periods at the recent rate, and none longer than those recorded", () => {
        const history = new PrefillHistory();
        for (let now = 0; now < 5_000; now += 1_000) history.record(now + 300, 1_000, now);
        assert.ok(history.harmProbability(longerThan(200), 500, 5_000) > 0.7);
        assert.equal(history.harmProbability(longerThan(400), 500, 5_000), 0);
        assert.equal(history.harmProbability(longerThan(200), 500, 20_000), 0);
    });

    it("is certain of a pause if prefill never ends", () => {
        const history = new PrefillHistory();
        for (let now = 0; now < 6_000; now += 100) history.record(now + 300, 1_000, now);
        assert.equal(history.harmProbability(longerThan(200), 10, 6_000), 1);
    });
});
