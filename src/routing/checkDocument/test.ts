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

    describe("texts that a header can't hold", () => {
        const faultOfWorkspace = (workspace: string, key = "k"): string =>
            faultOf(makeDocument({ workspaces: [{ workspace, keys: [key] }] }));

        it("accepts names and keys of any letters", () => {
            for (const text of ["Huế", "Café", "名前", "a b", "100%", "__proto__"]) {
                assert.equal(faultOfWorkspace(text, text), "good");
            }
        });

        it("rejects names that would end a header or change on their way", () => {
            // Failure: the document is accepted, and no request of the workspace can ever be served.
            assert.match(faultOfWorkspace("a\r\nx: 1"), /^workspace "a\\r\\nx: 1": a header can't hold its name$/);
            for (const text of ["a\nb", "a\u0000", " a", "a ", "\ud800"]) {
                assert.match(faultOfWorkspace(text), /its name$/);
            }
        });

        it("rejects such keys without repeating them", () => {
            for (const key of ["secret\n", " secret", "secret\u007f"]) {
                assert.equal(faultOfWorkspace("a", key), "workspace a: a header can't hold one of its keys");
            }
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
