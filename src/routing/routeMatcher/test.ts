import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeRoute } from "../fixtures/index.js";
import { Route } from "../fleetDocument/index.js";
import { RouteMatcher } from "./index.js";

function makeMatcher(pathPrefix: string): RouteMatcher {
    return new RouteMatcher(makeRoute({ pathPrefix }) as unknown as Route);
}

describe("RouteMatcher", () => {
    it("compares ASCII prefixes as they are", () => {
        const matcher = makeMatcher("/a%2fb/");
        assert.deepEqual(["/a%2fb/1", "/a%2Fb/1", "/a/b/1"].map(path => matcher.matches(path)), [true, false, false]);
    });

    it("compares other prefixes in each form in which they are sent", () => {
        // Failure: requests for a route whose prefix has letters beyond ASCII get 404.
        const matcher = makeMatcher("/名前/x/");
        const bytes = Buffer.from("/名前/x/1").toString("latin1");
        assert.deepEqual(
            [bytes, encodeURI("/名前/x/1"), encodeURI("/名前/x/1").toLowerCase()].map(path => matcher.matches(path)),
            [
                true,
                true,
                true,
            ],
        );
        assert.deepEqual(["/x/1", "/%E5%90%8D/x/1", bytes.slice(0, 4)].map(path => matcher.matches(path)), [
            false,
            false,
            false,
        ]);
    });

    it("keeps longer prefixes in front, as they are sent", () => {
        assert.ok(makeMatcher("/é/").length > makeMatcher("/abcd/").length);
    });
});
