import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { BodyFraming, RequestBounds } from "./index.js";

const MAX_CHUNKS = 3;

interface TestRequest {
    readonly head: string;
    readonly body: string;
    readonly framing: BodyFraming;
}

const headers = fc.array(fc.constantFrom("a: b\r\n", "name: some value\r\n", "x:\r\n"), { maxLength: 3 });

const chunked = fc.record({
    sizes: fc.array(fc.integer({ min: 1, max: 300 }), { maxLength: 12 }),
    extension: fc.constantFrom("", ";name=value", ";a;b=\"c\""),
    trailers: fc.constantFrom("", "trailer: 1\r\n", "a: b\r\nc: d\r\n"),
}).map(({ sizes, extension, trailers }) => {
    const chunks = sizes.map((size, index) => {
        const text = index % 2 === 0 ? size.toString(16) : size.toString(16).toUpperCase();
        return `${text}${extension}\r\n${"\r\n0;".repeat(size).slice(0, size)}\r\n`;
    });
    return { framing: { kind: "chunked" } as const, body: `${chunks.join("")}0\r\n${trailers}\r\n` };
});

const withLength = fc.nat(2_000).map(bytes => ({
    framing: { kind: "length", bytes } as const,
    body: "\r\n".repeat(bytes).slice(0, bytes),
}));

const request: fc.Arbitrary<TestRequest> = fc.tuple(headers, fc.oneof(chunked, withLength)).map(
    ([lines, { framing, body }]) => ({ head: `POST / HTTP/1.1\r\n${lines.join("")}\r\n`, body, framing }),
);

describe("RequestBounds", () => {
    it("finds the ends of heads and bodies, however they are split", () => {
        // Failure: a part of the next request is parsed with this one, or this one is never parsed whole.
        fc.assert(
            fc.property(fc.array(request, { maxLength: 4 }), fc.integer({ min: 1, max: 900 }), (requests, size) => {
                const bytes = Buffer.from(requests.map(({ head, body }) => head + body).join(""), "latin1");
                const bounds = new RequestBounds();
                const ends: number[] = [];
                let at = 0;
                let headEnd = requests[0]?.head.length;
                while (at < bytes.length) {
                    const length = bounds.measure(bytes.subarray(at, at + size - at % size), MAX_CHUNKS);
                    assert.ok(length > 0);
                    at += length;
                    if (at === headEnd) bounds.beginBody(requests[ends.length].framing);
                    if (!bounds.isInHead || at < headEnd) continue;
                    ends.push(at);
                    headEnd = at + (requests[ends.length]?.head.length ?? 0);
                }
                let end = 0;
                assert.deepEqual(ends, requests.map(({ head, body }) => end += head.length + body.length));
            }),
        );
    });

    it("measures a bounded number of chunks at a time", () => {
        // Failure: thousands of chunks of one byte are parsed at once.
        const bounds = new RequestBounds();
        bounds.measure(Buffer.from("POST / HTTP/1.1\r\n\r\n"), MAX_CHUNKS);
        bounds.beginBody({ kind: "chunked" });
        assert.equal(bounds.measure(Buffer.from("1\r\nx\r\n".repeat(100)), MAX_CHUNKS), MAX_CHUNKS * 6);
    });

    it("takes small parts where a request begins without the end of a head", () => {
        // Failure: a parser that reads more kindly than this leaves the connection without a bound.
        const bounds = new RequestBounds();
        bounds.measure(Buffer.alloc(100), MAX_CHUNKS);
        bounds.beginBody({ kind: "length", bytes: 1_000_000 });
        assert.ok(bounds.measure(Buffer.alloc(100_000), MAX_CHUNKS) < 10_000);
    });
});
