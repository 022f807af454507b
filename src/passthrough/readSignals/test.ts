import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HeaderList } from "../../ports/index.js";
import { NO_SIGNALS } from "../../upstream/index.js";
import { readSignals } from "./index.js";

const NAMES = { requestLimit: "limit", leaving: "leaving", rejectionLimit: "brittle" };

function read(status: number, headers: HeaderList) {
    return readSignals({ status, headers }, NAMES);
}

describe("readSignals", () => {
    it("returns nothing for an answer without such headers", () => {
        assert.deepEqual(read(200, []), NO_SIGNALS);
        assert.deepEqual(read(503, []), NO_SIGNALS);
    });

    it("reads a back-off only from answers that turn a request away", () => {
        for (const status of [429, 503]) assert.equal(read(status, [["retry-after", "3"]]).backOffMs, 3_000);
        for (const status of [200, 500, 302]) assert.equal(read(status, [["retry-after", "3"]]).backOffMs, undefined);
    });

    it("reads a departure and limits from an answer of any status", () => {
        for (const status of [200, 421, 500, 503]) {
            const headers: HeaderList = [["leaving", "1"], ["limit", "2.5"], ["brittle", "12"]];
            const { isLeaving, requestLimit, rejectionLimit } = read(status, headers);
            assert.ok(isLeaving);
            assert.equal(requestLimit, 2.5);
            assert.equal(rejectionLimit, 12);
        }
        assert.ok(!read(200, [["leaving", "0"]]).isLeaving);
    });

    it("tells a limit of 0 from none and from an unreadable one", () => {
        const values = ["0", "-1", "", "many"].map(text => read(200, [["brittle", text]]).rejectionLimit);
        assert.deepEqual(values, [0, Number.NaN, Number.NaN, Number.NaN]);
    });
});
