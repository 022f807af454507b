import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseEvent } from "./index.js";

const RULES = { mayOmitIds: true, maxDataLines: 2, firstLine: /^weights: \d+$/ };

function parse(text: string | Buffer): unknown {
    return parseEvent(Buffer.from(text as string), RULES).mapLeft(({ kind }) => kind).extract();
}

describe("parseEvent", () => {
    describe("events", () => {
        const events: readonly [string, string][] = [
            ["an id and data", "id: 7\ndata: x\n\n"],
            ["no space behind the colon", "id:7\ndata:x\n\n"],
            ["CRLF line ends", "id: 7\r\ndata: x\r\n\r\n"],
            ["CR line ends", "id: 7\rdata: x\r\r"],
            ["a type, a reconnection time and a comment", ": note\nevent: a\nretry: 10\nid: 7\ndata: x\n\n"],
            ["the line that an event may have before its fields", "weights: 3\nid: 7\ndata: x\n\n"],
            ["several data lines", "id: 7\ndata: x\ndata\n\n"],
            ["text of several bytes a character", "id: 7\ndata: \u00e6\u4e2d\n\n"],
        ];
        for (const [name, text] of events) {
            it(`accepts ${name}`, () => assert.deepEqual(parse(text), { isComment: false, id: "7" }));
        }

        it("accepts events without an id", () => {
            assert.deepEqual(parse("data: x\n\n"), { isComment: false, id: undefined });
        });

        it("ends lines at a CR alone", () => {
            // Failure: data behind a comment's CR, which callers read as an event, counts as part of the comment.
            assert.deepEqual(parse(": x\rdata: y\n\n"), { isComment: false, id: undefined });
        });

        it("tells comments from events", () => {
            assert.deepEqual(parse(": note\n\n"), { isComment: true, id: undefined });
            assert.deepEqual(parse("retry: 10\n\n"), { isComment: true, id: undefined });
        });
    });

    describe("bytes that are no event", () => {
        // Failure: a block counts as an event because it stands where one is due.
        const blocks: readonly [string, string | Buffer][] = [
            ["garbage", "q8Zx\n\n"],
            ["bytes that are not UTF-8", Buffer.from("id: 7\ndata: \xff\xfe\n\n", "latin1")],
            ["the head of an answer", "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"],
            ["an id without data", "id: 7\n\n"],
            ["two ids", "id: 7\nid: 8\ndata: x\n\n"],
            ["half an event, then a whole one", "id: 7\nda\nid: 8\ndata: x\n\n"],
            ["more data lines than an event has", "id: 7\ndata: x\ndata: y\ndata: z\n\n"],
            ["a second id behind a CR alone", "id: 7\ndata: x\rid: 8\n\n"],
            ["the first line in another place", "id: 7\nweights: 3\ndata: x\n\n"],
            ["a reconnection time that is no number", "retry: soon\n\n"],
        ];
        for (const [name, block] of blocks) it(`rejects ${name}`, () => assert.equal(parse(block), "malformed"));
    });
});
