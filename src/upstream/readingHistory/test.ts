import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReadingHistory, ReadingStretch } from "./index.js";

const longerThan = (ms: number) => ({ startsAt, endsAt }: ReadingStretch): number => endsAt - startsAt > ms ? 1 : 0;

describe("ReadingHistory", () => {
    it("counts prompts that follow each other without a break as one stretch", () => {
        const history = new ReadingHistory();
        history.note(200, 3_000, 0);
        assert.deepEqual(history.extend(350, 800, 100), { startsAt: 0, endsAt: 350, promptTokens: 3_000 });
        assert.deepEqual(history.extend(350, 800, 300), { startsAt: 300, endsAt: 350, promptTokens: 800 });
    });

    it("expects as many long stretches as there were of late, and none that were short", () => {
        const history = new ReadingHistory();
        for (let now = 0; now < 5_000; now += 1_000) history.note(now + 300, 1_000, now);
        assert.ok(history.chanceOfHarm(longerThan(200), 500, 5_000) > 0.7);
        assert.equal(history.chanceOfHarm(longerThan(400), 500, 5_000), 0);
        assert.equal(history.chanceOfHarm(longerThan(200), 500, 20_000), 0);
    });

    it("is certain of a pause where reading does not end", () => {
        const history = new ReadingHistory();
        for (let now = 0; now < 6_000; now += 100) history.note(now + 300, 1_000, now);
        assert.equal(history.chanceOfHarm(longerThan(200), 10, 6_000), 1);
    });
});
