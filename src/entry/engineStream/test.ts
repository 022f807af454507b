import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HttpError, HttpReply, VirtualClock } from "../../ports/index.js";
import { readEngineStream } from "./index.js";

const REQUEST = "request-1";
const DONE = "data: [DONE]\n\n";

function token(offset: number, more: object = {}): string {
    const choice = { index: 0, delta: { content: `t${offset} ` }, ...more };
    const chunk = { id: REQUEST, object: "chat.completion.chunk", model: "m", offset, tokens: 1, choices: [choice] };
    return `data: ${JSON.stringify(chunk)}\n\n`;
}

function end(): string {
    const choices = [{ index: 0, delta: {}, finish_reason: "stop" }];
    const usage = { prompt_tokens: 3, completion_tokens: 3, cached_tokens: 0 };
    const chunk = { id: REQUEST, object: "chat.completion.chunk", model: "m", offset: 3, tokens: 0, choices, usage };
    return `data: ${JSON.stringify(chunk)}\n\n`;
}

function replyOf(...parts: (string | Error)[]): HttpReply {
    async function* body(): AsyncIterable<Uint8Array> {
        for (const part of parts) {
            if (part instanceof Error) throw part;
            yield Buffer.from(part);
        }
    }
    return { status: 200, headers: [], body: body(), reset: () => undefined };
}

async function read(reply: HttpReply, offset = 0) {
    let text = "";
    const result = await readEngineStream(reply, REQUEST, offset, tokens => {
        text += tokens.text;
    }, new VirtualClock());
    return {
        text,
        result: result.caseOf({ Left: err => err.reason as string, Right: ({ finishReason }) => finishReason }),
    };
}

describe("readEngineStream", () => {
    it("delivers the tokens in order, wherever the bytes are split", async () => {
        const whole = token(0) + token(1) + token(2) + end() + DONE;
        const letters = [...whole];
        assert.deepEqual(await read(replyOf(...letters)), { text: "t0 t1 t2 ", result: "stop" });
    });

    describe("after a resume", () => {
        it("skips tokens that were delivered before", async () => {
            // Failure: a caller receives some words twice after a pause, because the engine that continues the answer ignores the
            // offset, starts with the first token, and its tokens are taken as the continuation.
            const reply = replyOf(token(0), token(1), token(2), end(), DONE);
            assert.deepEqual(await read(reply, 2), { text: "t2 ", result: "stop" });
        });

        it("refuses an answer in which tokens are missing", async () => {
            // Failure: a caller's answer lacks some words and looks complete, because events were lost or the engine resumed too
            // far ahead. Only the offsets show that two events are not consecutive.
            const reply = replyOf(token(0), token(2), end(), DONE);
            assert.deepEqual(await read(reply), { text: "t0 ", result: "gap" });
        });
    });

    describe("an incomplete answer", () => {
        it("is detected by the missing terminal event", async () => {
            assert.equal((await read(replyOf(token(0), token(1)))).result, "truncated");
        });

        it("is detected by a terminal event without usage", async () => {
            assert.equal((await read(replyOf(token(0), DONE))).result, "malformed");
        });

        it("is detected by a connection that breaks", async () => {
            assert.equal((await read(replyOf(token(0), new HttpError("closed", true, "")))).result, "truncated");
        });

        it("is distinguished from an answer that this host aborted", async () => {
            assert.equal((await read(replyOf(token(0), new HttpError("aborted", true, "")))).result, "stopped");
        });

        it("is detected by an event that is not JSON", async () => {
            assert.equal((await read(replyOf("data: {\"id\":\n\n"))).result, "malformed");
        });
    });

    describe("an answer whose end does not follow its last token", () => {
        it("is rejected where the token before its end is missing", async () => {
            // Failure: a caller's answer lacks its last words and counts as complete, since only tokens are held against the offset.
            const reply = replyOf(token(0), token(1), end(), DONE);
            assert.deepEqual(await read(reply), { text: "t0 t1 ", result: "gap" });
        });

        it("is rejected where an engine that ignores the offset ends before it", async () => {
            // Failure: a shorter answer of another run ends this one as complete.
            const reply = replyOf(token(0), token(1), end().replace("\"offset\":3", "\"offset\":2"), DONE);
            assert.deepEqual(await read(reply, 3), { text: "", result: "gap" });
        });

        it("is rejected where tokens follow its end", async () => {
            // Failure: tokens of another run are appended to a complete answer.
            const reply = replyOf(token(0), token(1), token(2), end(), token(3), DONE);
            assert.deepEqual(await read(reply), { text: "t0 t1 t2 ", result: "malformed" });
        });
    });

    describe("a malformed event", () => {
        const malformed: readonly (readonly [name: string, from: string, to: string])[] = [
            ["without a delta", "\"delta\":{\"content\":\"t1 \"}", "\"delta\":null"],
            ["whose delta is a text", "\"delta\":{\"content\":\"t1 \"}", "\"delta\":\"t1 \""],
            ["whose delta is a list", "\"delta\":{\"content\":\"t1 \"}", "\"delta\":[\"t1 \"]"],
            ["whose text is a number", "\"content\":\"t1 \"", "\"content\":7"],
            ["with an offset below 0", "\"offset\":1", "\"offset\":-1"],
            ["with an offset that is no exact number", "\"offset\":1", "\"offset\":1e300"],
            ["with less than no tokens", "\"tokens\":1", "\"tokens\":-1"],
            ["with a number of tokens that is not exact", "\"tokens\":1", "\"tokens\":1e300"],
        ];
        for (const [name, from, to] of malformed) {
            it(`${name} is rejected`, async () => {
                // Failure: the chat ends by an exception, or its counts and its text by what is no text and no count.
                const event = token(1).replace(from, to);
                assert.notEqual(event, token(1));
                const reply = replyOf(token(0), event, token(1), token(2), end(), DONE);
                assert.deepEqual(await read(reply), { text: "t0 ", result: "malformed" });
            });
        }

        const ends: readonly (readonly [name: string, from: string, to: string])[] = [
            ["an unknown finish reason", "\"stop\"", "7"],
            ["a usage that is none", "\"completion_tokens\":3", "\"completion_tokens\":null"],
            ["a usage below 0", "\"prompt_tokens\":3", "\"prompt_tokens\":-3"],
        ];
        for (const [name, from, to] of ends) {
            it(`at the end, with ${name}, is rejected`, async () => {
                // Failure: a workspace is charged by a usage that is no number.
                const event = end().replace(from, to);
                assert.notEqual(event, end());
                const reply = replyOf(token(0), token(1), token(2), event, DONE);
                assert.deepEqual(await read(reply), { text: "t0 t1 t2 ", result: "malformed" });
            });
        }
    });

    it("rejects an event whose bytes are not UTF-8", async () => {
        // Failure: the caller gets replacement characters for bytes that no engine has written.
        const bytes = Buffer.from(token(1));
        bytes[bytes.indexOf("t1")] = 0xff;
        async function* body(): AsyncIterable<Uint8Array> {
            yield Buffer.from(token(0));
            yield bytes;
            yield Buffer.from(token(2) + end() + DONE);
        }
        assert.deepEqual(await read({ ...replyOf(), body: body() }), { text: "t0 ", result: "malformed" });
    });

    it("delivers letters of several bytes, wherever they are split", async () => {
        const bytes = Buffer.from((token(0) + token(1) + token(2) + end() + DONE).replace("t1", "\u00e9\u{1f600}"));
        async function* body(): AsyncIterable<Uint8Array> {
            for (const byte of bytes) yield Uint8Array.of(byte);
        }
        const received = await read({ ...replyOf(), body: body() });
        assert.deepEqual(received, { text: "t0 \u00e9\u{1f600} t2 ", result: "stop" });
    });

    describe("the format of events", () => {
        const formats: readonly (readonly [name: string, format: (event: string) => string])[] = [
            ["comments between events", event => `: a comment\n\n${event}`],
            ["comment lines within events", event => `: a comment\n${event}`],
            ["other fields before the data", event => `event: message\nid: 1\n${event}`],
            ["other fields behind the data", event => event.replace("\n\n", "\nretry: 100\n\n")],
            ["no space before the data", event => event.replace("data: ", "data:")],
            ["lines that end in CR and LF", event => event.replaceAll("\n", "\r\n")],
            ["lines that end in CR", event => event.replaceAll("\n", "\r")],
            ["data of several lines", event => event.replace("\"tokens\"", "\ndata: \"tokens\"")],
        ];
        for (const [name, format] of formats) {
            it(`may have ${name}`, async () => {
                // Failure: an event is passed over, so that tokens of an answer are missing or the whole answer is given up.
                const whole = [token(0), token(1), token(2), end(), DONE].map(format).join("");
                for (const reply of [replyOf(whole), replyOf(...whole)]) {
                    assert.deepEqual(await read(reply), { text: "t0 t1 t2 ", result: "stop" });
                }
            });
        }
    });

    it("refuses tokens that begin before the next one and end behind it", async () => {
        // Failure: a caller receives the text of tokens twice, which cannot be divided.
        const reply = replyOf(token(0), token(1), token(1).replace("\"tokens\":1", "\"tokens\":2"), end(), DONE);
        assert.deepEqual(await read(reply), { text: "t0 t1 ", result: "gap" });
    });

    describe("an event without end", () => {
        it("is rejected", async () => {
            // Failure: memory grows, and all that came is searched for each piece, for as long as an engine sends.
            const pieces = Array.from({ length: 4 * 1024 }, () => "x".repeat(1_024));
            assert.deepEqual(await read(replyOf(token(0), "data: ", ...pieces)), { text: "t0 ", result: "malformed" });
        });

        it("costs time only once while it may still end", async () => {
            // Failure: the process is blocked for minutes by some hundred thousand small pieces.
            const pieces = Array.from({ length: 60_000 }, () => "x".repeat(16));
            const reply = replyOf(": ", ...pieces, "\n\n", token(0), token(1), token(2), end(), DONE);
            assert.deepEqual(await read(reply), { text: "t0 t1 t2 ", result: "stop" });
        });
    });

    it("rejects an event of another request", async () => {
        const other = token(0).replace(REQUEST, "request-2");
        assert.deepEqual(await read(replyOf(other, end(), DONE)), { text: "", result: "crossed" });
    });

    it("reads the body to its end, so that its connection can be used again", async () => {
        // Failure: first tokens are late, and hosts accumulate connections that are being closed. The reader stopped at the terminal event, and
        // the HTTP client closes a connection whose body was not read to its end.
        let isReadToEnd = false;
        async function* body(): AsyncIterable<Uint8Array> {
            yield Buffer.from(token(0) + token(1) + token(2) + end() + DONE);
            isReadToEnd = true;
        }
        await read({ ...replyOf(), body: body() });
        await new Promise(resolve => setImmediate(resolve));
        assert.ok(isReadToEnd);
    });
});
