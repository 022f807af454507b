import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { promisesNotRun } from "./index.js";

describe("promisesNotRun", () => {
    it("is true for the statuses after which callers send a request again that may run once", () => {
        for (const status of [408, 421, 429, 503]) assert.ok(promisesNotRun(status), `${status}`);
    });

    it("is false for those that leave it open", () => {
        for (const status of [200, 400, 404, 500, 502, 504]) assert.ok(!promisesNotRun(status), `${status}`);
    });
});
