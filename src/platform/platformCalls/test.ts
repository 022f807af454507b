import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HolderTerm } from "../../control/index.js";
import { FencingToken, HostId, WorkspaceId } from "../../ids/index.js";
import { makeCounts } from "../../usage/index.js";
import { makePlatformCalls } from "./index.js";

const CALLS = makePlatformCalls({ host: "10.0.0.1", port: 80 }, "core-1" as HostId);
const TERM = { token: 12 as FencingToken } as HolderTerm;

describe("makePlatformCalls", () => {
    describe("usage reports", () => {
        it("name each tenant as the configuration does", () => {
            // Failure: a tenant's usage is missing, or stands under another name, since each object has a property of its name.
            const counts = makeCounts([["__proto__" as WorkspaceId, 3], ["Huế" as WorkspaceId, 2]]);
            const { path, body } = CALLS.describeStarts({ window: 7, counts, reported: false }, TERM);
            assert.equal(path, "/usage");
            assert.equal(JSON.stringify(body), `{"windowId":7,"counts":{"__proto__":3,"Huế":2}}`);
        });
    });

    it("name the host in one header, whatever its letters", () => {
        // Failure: a letter whose low byte is that of a line feed ends the header, since the head is written as Latin-1.
        const calls = makePlatformCalls({ host: "10.0.0.1", port: 80 }, "core-\u010a" as HostId);
        const { headers } = calls.describeStarts({ window: 7, counts: {}, reported: false }, TERM);
        assert.deepEqual(headers?.[0], ["sequoiamux-duty-holder", "core-\xc4\x8a"]);
    });
});
