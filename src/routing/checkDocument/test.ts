import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeDocument, makeRoute } from "../fixtures/index.js";
import { checkDocument } from "./index.js";

function faultOf(value: unknown): string {
    return checkDocument(value).swap().map(err => err.message).orDefault("good");
}

describe("checkDocument", () => {
    it("accepts a complete document", () => {
        assert.equal(faultOf(makeDocument()), "good");
    });

    describe("inconsistent parts", () => {
        it("rejects a route to a pool that does not exist", () => {
            const route = makeRoute({ targets: [{ pool: "nowhere", weight: 1 }] });
            assert.equal(faultOf(makeDocument({ routes: [route] })), "route orders: there is no pool nowhere");
        });

        it("rejects two routes of one host and prefix, in any letter case of the host", () => {
            const routes = [makeRoute({}), makeRoute({ name: "second", host: "SHOP.example" })];
            assert.match(faultOf(makeDocument({ routes })), /second: another route has its host/);
        });

        it("rejects weights that add up to 0", () => {
            const route = makeRoute({ targets: [{ pool: "ledger", weight: 0 }] });
            assert.match(faultOf(makeDocument({ routes: [route] })), /add up to 0/);
        });

        it("rejects a timeout of 0", () => {
            assert.match(faultOf(makeDocument({ routes: [makeRoute({ timeoutMs: 0 })] })), /^routes.0.timeoutMs: /);
        });

        it("rejects a key of two workspaces without repeating it", () => {
            const workspaces = [{ workspace: "a", keys: ["secret"] }, { workspace: "b", keys: ["secret"] }];
            assert.equal(faultOf(makeDocument({ workspaces })), "workspaces a and b share a key");
        });
    });

    describe("values that are not documents", () => {
        for (const value of [undefined, "text", [], {}, { version: 1 }, { ...makeDocument(), version: "1" }]) {
            it(`rejects ${JSON.stringify(value)?.slice(0, 40)} with one reason`, () => {
                assert.notEqual(faultOf(value), "good");
            });
        }
    });
});
