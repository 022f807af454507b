import assert from "node:assert/strict";
import { getEventListeners } from "node:events";
import { describe, it } from "node:test";
import { orOnAbort } from "./index.js";

const NEVER = new Promise<string>(() => undefined);

describe("orOnAbort", () => {
    it("returns the result of work that ends first, and leaves no listener", async () => {
        // Failure: memory grows with each request, since the signal lives as long as the process.
        const { signal } = new AbortController();
        assert.equal(await orOnAbort(Promise.resolve("done"), signal, () => "aborted"), "done");
        assert.equal(getEventListeners(signal, "abort").length, 0);
    });

    it("returns the other value when the signal is aborted first", async () => {
        const abort = new AbortController();
        const result = orOnAbort(NEVER, abort.signal, () => "aborted");
        abort.abort();
        assert.equal(await result, "aborted");
    });

    it("returns the other value when the signal was aborted before", async () => {
        assert.equal(await orOnAbort(NEVER, AbortSignal.abort(), () => "aborted"), "aborted");
    });

    it("passes a failure of the work on", async () => {
        const failing = orOnAbort(Promise.reject(new Error("broken")), new AbortController().signal, () => "aborted");
        await assert.rejects(failing, /broken/);
    });
});
