import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeCheckedDocument } from "../fixtures/index.js";
import { DocumentStore, ReplaceDocumentCommand } from "./index.js";

function replace(version: number, text: string): ReplaceDocumentCommand {
    return { kind: "document.replace", document: makeCheckedDocument({ version }), source: Buffer.from(text) };
}

describe("DocumentStore", () => {
    it("keeps the highest version, in whatever order versions arrive", () => {
        // Two operators send one change each to two hosts at the same time. Whichever is committed last, the higher
        // version is in force afterwards, and both commands succeed.
        const store = new DocumentStore();
        assert.equal(store.replace(replace(7, "seven"), 3).state, "replaced");
        assert.deepEqual(store.replace(replace(5, "five"), 4), { state: "superseded", revision: 3 });
        assert.equal(store.current?.document.version, 7);
    });

    it("rejects other content under the stored version", () => {
        const store = new DocumentStore();
        store.replace(replace(7, "first"), 1);
        store.replace(replace(7, "other"), 2);
        assert.equal(Buffer.from(store.current!.source).toString(), "first");
    });

    it("restores its state from a snapshot", () => {
        const store = new DocumentStore();
        store.replace(replace(7, "seven"), 9);
        const restored = new DocumentStore();
        restored.restore(store.snapshot());
        assert.equal(restored.revision, 9);
        assert.equal(restored.replace(replace(6, "six"), 10).state, "superseded");
    });
});
