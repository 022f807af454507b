import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkspaceId } from "../../ids/index.js";
import { fingerprintRequest, RequestContent } from "./index.js";

const CONTENT: RequestContent = {
    method: "POST",
    host: "shop.example",
    path: "/orders/7",
    workspace: "butcher" as WorkspaceId,
    body: Buffer.from("a roast"),
};

function differs(part: Partial<RequestContent>): boolean {
    return fingerprintRequest({ ...CONTENT, ...part }) !== fingerprintRequest(CONTENT);
}

describe("fingerprintRequest", () => {
    it("is the same for equal contents", () => {
        assert.equal(differs({ body: Buffer.from("a roast"), host: "Shop.Example" }), false);
    });

    it("differs for different methods, hosts, paths, workspaces and bodies", () => {
        assert.ok(differs({ method: "PUT" }));
        assert.ok(differs({ host: "shop.test" }));
        assert.ok(differs({ path: "/orders/7?x" }));
        assert.ok(differs({ workspace: undefined }));
        assert.ok(differs({ body: Buffer.from("a roast.") }));
    });

    it("differs for contents that differ only in the boundary between two fields", () => {
        assert.ok(differs({ path: "/orders/7butcher", workspace: "" as WorkspaceId }));
        assert.ok(differs({ path: "/orders/7\",\"butcher", workspace: undefined }));
    });
});
