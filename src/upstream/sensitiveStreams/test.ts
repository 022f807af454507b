import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { PauseForecast } from "../pauseForecast/index.js";
import { PrefillModel } from "../prefillModel/index.js";
import { SelectionRequest } from "../selectionPolicy/index.js";
import { SensitiveStreams } from "./index.js";

const EVENT_TOKENS = 4;
const LONG_PERIOD = { startsAt: 0, endsAt: 10_000, promptTokens: 8_000 };

function makeRequest(fields: Partial<SelectionRequest>): SelectionRequest {
    return { eventTokens: EVENT_TOKENS, gapMs: 250, tier: 1, now: 0, ...fields } as SelectionRequest;
}

describe("SensitiveStreams", () => {
    let pauses: PauseForecast;
    let streams: SensitiveStreams;

    beforeEach(() => {
        pauses = new PauseForecast(new PrefillModel());
        streams = new SensitiveStreams(pauses);
    });

    /** Has a stream observe a pause beside long prefill. */
    function observePause(pauseMs: number): void {
        for (let count = 0; count < 5; count++) pauses.learn(LONG_PERIOD, EVENT_TOKENS, pauseMs);
    }

    it("counts no stream as sensitive before long pauses were observed", () => {
        assert.equal(streams.record(makeRequest({})), false);
    });

    it("counts streams as sensitive whose pauses would be too long, and no others", () => {
        observePause(280);
        assert.equal(streams.record(makeRequest({})), true);
        assert.equal(streams.record(makeRequest({ gapMs: 1_000 })), false);
        assert.equal(streams.record(makeRequest({ gapMs: undefined })), false);
    });

    it("leaves out streams that bear longer pauses than the most sensitive ones of late", () => {
        observePause(380);
        assert.equal(streams.record(makeRequest({ gapMs: 250 })), true);
        assert.equal(streams.record(makeRequest({ gapMs: 400 })), false);
        assert.equal(streams.record(makeRequest({ gapMs: 400, now: 3_000 })), true);
    });

    it("tells which requests are more urgent than some of these streams", () => {
        observePause(280);
        streams.record(makeRequest({ tier: 0 }));
        streams.record(makeRequest({ tier: 3 }));
        assert.deepEqual([2, 3, 4].map(tier => streams.isMoreUrgent(tier)), [true, false, false]);
    });
});
