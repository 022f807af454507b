import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseEvent } from "./index.js";

const RULES = { mayOmitIds: true, firstField: { name: "weights", value: /^\d+$/ } };

function parse(text: string | Buffer): unknown {
    return parseEvent(Buffer.from(text as string), RULES)
        .map(({ isComment, id }) => ({ isComment, id }))
        .mapLeft(({ kind }) => kind).extract();
}

function findEnclosedIds(text: string): readonly number[] {
    return parseEvent(Buffer.from(text), RULES).unsafeCoerce().enclosedIds;
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
            ["many data lines", `id: 7\n${"data: x\n".repeat(40)}\n`],
            ["fields that readers ignore", "note: x\nid: 7\nmeta:\ndata: x\nx-trace.id: y\n\n"],
            ["a status line in its text", "id: 7\ndata: HTTP/1.1 200 OK\ndata: content-type: x\n\n"],
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

    describe("ids within an event", () => {
        it("are those that end a line of another field, with lines behind it", () => {
            // Failure: an event that lost its end in front of the next one can't be told from one with several data lines.
            assert.deepEqual(findEnclosedIds("id: 7\ndata: haid: 8\ndata: x\n\n"), [8]);
            assert.deepEqual(findEnclosedIds("id: 7\ndata: haid:8\r\nevent: y\r\ndata: x\r\n\r\n"), [8]);
        });

        it("are not the event's own, nor text at its end", () => {
            assert.deepEqual(findEnclosedIds("event: x\nid: 7\ndata: x\n\n"), []);
            assert.deepEqual(findEnclosedIds("id: 7\ndata: a\ndata: id: 8\n\n"), []);
            assert.deepEqual(findEnclosedIds("id: 7\ndata: id: 8 of 9\ndata: b\n\n"), []);
        });
    });

    describe("bytes that are no event", () => {
        // Failure: a block counts as an event because it stands where one is due.
        const blocks: readonly [string, string | Buffer][] = [
            ["garbage", "q8Zx\n\n"],
            ["bytes that are not UTF-8", Buffer.from("id: 7\ndata: \xff\xfe\n\n", "latin1")],
            ["the head of an answer", "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"],
            ["an id without data", "id: 7\n\n"],
            ["a field that readers ignore, alone", "note: x\n\n"],
            ["a line without a colon", "id: 7\nnote\ndata: x\n\n"],
            ["a name that no field has", "id: 7\n{\"a\": 1}\ndata: x\n\n"],
            ["half an event, then the head of an answer", "id: 7\ndata: haHTTP/1.1 200 OK\r\nx-note: 1\r\n\r\n"],
            ["two ids", "id: 7\nid: 8\ndata: x\n\n"],
            ["half an event, then a whole one", "id: 7\nda\nid: 8\ndata: x\n\n"],
            ["a second id behind a CR alone", "id: 7\ndata: x\rid: 8\n\n"],
            ["the first line in another place", "id: 7\nweights: 3\ndata: x\n\n"],
            ["a reconnection time that is no number", "retry: soon\n\n"],
        ];
        for (const [name, block] of blocks) it(`rejects ${name}`, () => assert.equal(parse(block), "malformed"));
    });
});
