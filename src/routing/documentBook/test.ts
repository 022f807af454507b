import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readDocument } from "../fixtures/index.js";
import { DocumentBook, ReplaceDocumentCommand } from "./index.js";

function replace(version: number, text: string): ReplaceDocumentCommand {
    return { kind: "document.replace", document: readDocument({ version }), source: Buffer.from(text) };
}

describe("DocumentBook", () => {
    it("keeps the highest version, in whatever order they come", () => {
        // Two operators send a change each at the same time, to two hosts. Whichever is committed last, the higher version holds
        // afterwards, and both get a yes.
        const book = new DocumentBook();
        assert.equal(book.replace(replace(7, "seven"), 3).state, "replaced");
        assert.deepEqual(book.replace(replace(5, "five"), 4), { state: "superseded", revision: 3 });
        assert.equal(book.held?.document.version, 7);
    });

    it("never takes other content under the version that it holds", () => {
        const book = new DocumentBook();
        book.replace(replace(7, "first"), 1);
        book.replace(replace(7, "other"), 2);
        assert.equal(Buffer.from(book.held!.source).toString(), "first");
    });

    it("comes back from a snapshot", () => {
        const book = new DocumentBook();
        book.replace(replace(7, "seven"), 9);
        const restored = new DocumentBook();
        restored.restore(book.snapshot());
        assert.equal(restored.revision, 9);
        assert.equal(restored.replace(replace(6, "six"), 10).state, "superseded");
    });
});
