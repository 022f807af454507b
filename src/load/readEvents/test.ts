import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventStreamError, readEvents } from "./index.js";

async function* splitBytes(text: string, size: number): AsyncIterable<Uint8Array> {
    const bytes = Buffer.from(text);
    for (let start = 0; start < bytes.length; start += size) yield bytes.subarray(start, start + size);
}

async function collect(text: string, size: number): Promise<string[]> {
    const events: string[] = [];
    for await (const data of readEvents(splitBytes(text, size))) events.push(data);
    return events;
}

describe("readEvents", () => {
    it("returns the same events however the bytes are split, even within a character", async () => {
        const text = "data: {\"a\":\"kæfa\"}\n\n: comment\n\ndata: one\ndata: two\n\ndata: [DONE]\n\n";
        const expected = ["{\"a\":\"kæfa\"}", "one\ntwo", "[DONE]"];
        for (let size = 1; size <= text.length; size++) assert.deepEqual(await collect(text, size), expected);
    });

    it("accepts carriage returns", async () => {
        assert.deepEqual(await collect("data: a\r\n\r\ndata:b\r\n\r\n", 100), ["a", "b"]);
    });

    it("ignores a truncated event", async () => {
        assert.deepEqual(await collect("data: a\n\ndata: b\n", 3), ["a"]);
    });

    it("rejects an event that exceeds the maximum length", async () => {
        await assert.rejects(collect(`data: ${"x".repeat(2_000_000)}`, 65_536), EventStreamError);
    });
});
