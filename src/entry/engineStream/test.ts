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
    it("gives the tokens in order, however the bytes are cut", async () => {
        const whole = token(0) + token(1) + token(2) + end() + DONE;
        const letters = [...whole];
        assert.deepEqual(await read(replyOf(...letters)), { text: "t0 t1 t2 ", result: "stop" });
    });

    describe("after a resume", () => {
        it("leaves out tokens that were delivered before", async () => {
            // A caller sees some words twice after a pause.
            // The engine that continues the answer ignores the offset and begins with the first token.
            // Cause: what an engine sends is taken as if it followed what came before.
            const reply = replyOf(token(0), token(1), token(2), end(), DONE);
            assert.deepEqual(await read(reply, 2), { text: "t2 ", result: "stop" });
        });

        it("refuses an answer in which tokens are missing", async () => {
            // A caller's answer lacks some words and looks whole.
            // Events between two others were lost, or the engine continued too far on.
            // Cause: only the events' offsets tell that they do not follow each other.
            const reply = replyOf(token(0), token(2), end(), DONE);
            assert.deepEqual(await read(reply), { text: "t0 ", result: "gap" });
        });
    });

    describe("an answer that is not whole", () => {
        it("is told by the missing terminal event", async () => {
            assert.equal((await read(replyOf(token(0), token(1)))).result, "truncated");
        });

        it("is told by a terminal event without usage", async () => {
            assert.equal((await read(replyOf(token(0), DONE))).result, "malformed");
        });

        it("is told by a connection that breaks", async () => {
            assert.equal((await read(replyOf(token(0), new HttpError("closed", true, "")))).result, "truncated");
        });

        it("is told apart from one that was stopped here", async () => {
            assert.equal((await read(replyOf(token(0), new HttpError("aborted", true, "")))).result, "stopped");
        });

        it("is told by what is no JSON", async () => {
            assert.equal((await read(replyOf("data: {\"id\":\n\n"))).result, "malformed");
        });
    });

    it("takes no event of another request", async () => {
        const other = token(0).replace(REQUEST, "request-2");
        assert.deepEqual(await read(replyOf(other, end(), DONE)), { text: "", result: "crossed" });
    });

    it("reads the body to its end, so that its connection can be used again", async () => {
        // First tokens come late, and the hosts are full of connections that wait for their end.
        // The reader stopped at the terminal event, and the client closed a connection that was not read to its end.
        // Cause: leaving a loop over a body early means giving it up.
        let isReadToEnd = false;
        async function* body(): AsyncIterable<Uint8Array> {
            yield Buffer.from(token(0) + end() + DONE);
            isReadToEnd = true;
        }
        await read({ ...replyOf(), body: body() });
        await new Promise(resolve => setImmediate(resolve));
        assert.ok(isReadToEnd);
    });
});
