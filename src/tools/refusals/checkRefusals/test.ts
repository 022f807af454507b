import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkRefusals, RefusalExchange, RefusalRecord } from "./index.js";

const EXCHANGE: RefusalExchange = {
    request: "a",
    route: "orders",
    entry: 0,
    sentAt: 0,
    status: 200,
    statesNotRun: false,
    body: "the answer to [a]",
    end: "whole",
};

function check(exchange: Partial<RefusalExchange>, runCount: number, record: Partial<RefusalRecord> = {}): string[] {
    const runs = Array.from({ length: runCount }, (_, at) => ({ at, id: "a", upstream: `u${at}` }));
    const exchanges = [{ ...EXCHANGE, ...exchange }];
    const onceRoutes = new Set(["orders"]);
    const defaults = { endedEntries: [], arrivals: [], repeats: { ratio: 0.2, windowMs: 10_000, slack: 2 } };
    return checkRefusals({ ...defaults, exchanges, runs, onceRoutes, ...record }).map(({ kind }) => kind);
}

describe("checkRefusals", () => {
    it("finds no fault in a call that ran once, or was refused and has not run", () => {
        assert.deepEqual(check({}, 1), []);
        assert.deepEqual(check({ status: 503, statesNotRun: true }, 0), []);
        assert.deepEqual(check({ status: 502 }, 1), []);
        assert.deepEqual(check({ status: undefined, end: "left" }, 1), []);
    });

    it("finds a call that ran twice, where it must not", () => {
        assert.deepEqual(check({}, 2), ["ran-twice"]);
        assert.deepEqual(check({ route: "lookups" }, 2), []);
    });

    it("finds a promise that was broken, by the status or by the header", () => {
        for (const status of [408, 421, 429, 503]) assert.deepEqual(check({ status }, 1), ["untrue-refusal"]);
        assert.deepEqual(check({ status: 400, statesNotRun: true }, 1), ["untrue-refusal"]);
    });

    it("finds answers to other calls, requests without an end, and processes that ended", () => {
        assert.deepEqual(check({ body: "the answer to [b]" }, 1), ["foreign-answer"]);
        assert.deepEqual(check({ status: undefined, end: "unanswered" }, 1), ["unanswered"]);
        assert.deepEqual(check({}, 1, { endedEntries: [2] }), ["process-ended"]);
    });

    it("finds more retries within a window than the limits allow", () => {
        const arrivals = Array.from({ length: 4 }, (_, number) => ({ request: "a", at: 100 * number }));
        assert.deepEqual(check({}, 1, { arrivals }), ["too-many-retries"]);
        assert.deepEqual(check({}, 1, { arrivals: arrivals.slice(1) }), []);
    });
});
