import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RequestAllowance } from "./index.js";

const MINUTE_MS = 60_000;

/** Sends as much as allowed, every 10 ms for a minute, and returns the number of requests. */
function sendAll(allowance: RequestAllowance): number {
    let sent = 0;
    for (let now = 0; now < MINUTE_MS; now += 10) {
        while (allowance.available(now) > 0) {
            allowance.consume(now);
            sent++;
        }
    }
    return sent;
}

describe("RequestAllowance", () => {
    it("has no bound before an upstream states a limit, or after it has stopped stating one", () => {
        const allowance = new RequestAllowance(() => 1);
        assert.equal(allowance.available(0), Infinity);
        allowance.update(2, 0, 0, 0);
        assert.equal(allowance.available(0), 2);
        allowance.update(undefined, 100, 100, 0);
        assert.equal(allowance.available(100), Infinity);
    });

    for (const [limit, most] of [[3, 183], [1, 61], [0.4, 25], [0, 7]]) {
        it(`allows ${limit} per second, and no more than a second's worth at once`, () => {
            const allowance = new RequestAllowance(() => 1);
            allowance.update(limit, 0, 0, 0);
            const sent = sendAll(allowance);
            assert.ok(sent <= most && sent >= most - 3, `${sent} sent`);
        });
    }

    it("allows a host's share", () => {
        const allowance = new RequestAllowance(() => 1 / 4);
        allowance.update(2, 0, 0, 0);
        const sent = sendAll(allowance);
        assert.ok(sent >= 29 && sent <= 31, `${sent} sent`);
    });

    it("counts requests sent in the second before the limit became known", () => {
        const allowance = new RequestAllowance(() => 1);
        allowance.update(2, 0, 0, 5);
        assert.equal(allowance.available(1_000), 0);
        assert.equal(allowance.available(2_500), 2);
    });

    it("applies the newest answer, whichever arrives last", () => {
        const allowance = new RequestAllowance(() => 1);
        allowance.update(undefined, 200, 200, 0);
        allowance.update(1, 100, 300, 0);
        assert.equal(allowance.perSecond, undefined);
        allowance.update(1, 250, 300, 0);
        assert.equal(allowance.perSecond, 1);
    });

    it("keeps the remaining tokens when an upstream states another limit", () => {
        const allowance = new RequestAllowance(() => 1);
        allowance.update(4, 0, 0, 0);
        for (let sent = 0; sent < 4; sent++) allowance.consume(0);
        allowance.update(2, 10, 10, 4);
        assert.equal(allowance.available(10), 0);
        assert.equal(allowance.available(510), 1);
    });
});
