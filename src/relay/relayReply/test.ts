import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId } from "../../ids/index.js";
import { HeaderList, HttpReply } from "../../ports/index.js";
import { encodeRelayFrame, encodeRelayMessage, FRAME_KINDS } from "../relayFrame/index.js";
import { RELAY_EXCHANGE_HEADER } from "../relayMessage/index.js";
import { readRelayReply } from "./index.js";

const RELAY = "relay" as HostId;
const EXCHANGE = "host-1/1";
const HEAD = encodeRelayMessage(FRAME_KINDS.message, { kind: "reply", status: 200, headers: [] });
const DATA = encodeRelayFrame(FRAME_KINDS.data, Buffer.from("data: x"));
/** Pieces after which a body that is still read counts as read without end. */
const MAX_PIECES = 1_000;

/** A relay's answer, and whether its connection has been given up: the body ended, or its reader left it. */
class RelayAnswerDouble {
    isClosed = false;
    pieces = 0;

    constructor(private readonly first: readonly Uint8Array[], private readonly endless?: Uint8Array) {}

    readonly reply: HttpReply = {
        status: 200,
        headers: [[RELAY_EXCHANGE_HEADER, EXCHANGE]],
        body: this.send(),
        reset: () => this.isClosed = true,
    };

    private async *send(): AsyncIterable<Uint8Array> {
        try {
            yield* this.first;
            while (this.endless && this.pieces < MAX_PIECES) {
                this.pieces++;
                yield this.endless;
            }
        }
        finally {
            this.isClosed = true;
        }
    }
}

describe("readRelayReply", () => {
    it("closes the connection to the relay when the body's reader stops", async () => {
        // Failure: the connection stays open for good where an upstream's bytes are rejected in the middle.
        const relay = new RelayAnswerDouble([HEAD], DATA);
        let ended = 0;
        const attempt = await readRelayReply(relay.reply, RELAY, EXCHANGE, () => ended++);
        assert.equal(attempt.kind, "reply");
        if (attempt.kind !== "reply") return;
        const body = attempt.reply.body[Symbol.asyncIterator]();
        await body.next();
        await body.return?.();
        assert.deepEqual([relay.isClosed, ended], [true, 1]);
    });

    it("ends a complete body at its last frame, whatever follows", async () => {
        // Failure: a caller waits for an answer that is complete until its deadline.
        const relay = new RelayAnswerDouble([HEAD, DATA, encodeRelayFrame(FRAME_KINDS.end)], DATA);
        const attempt = await readRelayReply(relay.reply, RELAY, EXCHANGE, () => undefined);
        assert.equal(attempt.kind, "reply");
        if (attempt.kind !== "reply") return;
        let size = 0;
        for await (const chunk of attempt.reply.body) size += chunk.length;
        assert.equal(size, "data: x".length);
        assert.ok(relay.isClosed && relay.pieces < MAX_PIECES, `${relay.pieces} pieces`);
    });

    describe("an invalid head of the upstream", () => {
        const wrong: readonly (readonly [name: string, head: { status: unknown; headers: unknown; }])[] = [
            ["a blank in a name", { status: 200, headers: [["x a", "b"]] }],
            ["no name", { status: 200, headers: [["", "b"]] }],
            ["a line break in a value", { status: 200, headers: [["x-a", "b\r\nx-c: d"]] }],
            ["a control byte in a value", { status: 200, headers: [["x-a", "\0"]] }],
            ["a value that is no text", { status: 200, headers: [["x-a", 1]] }],
            ["headers that are no list", { status: 200, headers: { "x-a": "b" } }],
            ["an interim status", { status: 103, headers: [] }],
            ["a status that HTTP does not have", { status: 600, headers: [] }],
            ["no status", { status: undefined, headers: [] }],
        ];
        for (const [name, head] of wrong) {
            it(`is no answer: ${name}`, async () => {
                // Failure: the head can't be written to the caller, whose connection is closed without an answer.
                const first = encodeRelayMessage(FRAME_KINDS.message, { kind: "reply", ...head });
                const relay = new RelayAnswerDouble([first, DATA, encodeRelayFrame(FRAME_KINDS.end)]);
                let ended = 0;
                const attempt = await readRelayReply(relay.reply, RELAY, EXCHANGE, () => ended++);
                assert.deepEqual([attempt.kind, relay.isClosed, ended], ["lost", true, 1]);
            });
        }
    });

    for (const exchange of ["host-1/2", undefined]) {
        const name = exchange === undefined ? "no request" : "another request";
        it(`takes an upstream's answer for lost where the relay's answer names ${name}`, async () => {
            // Failure: a caller gets the answer to another call, which a relay has sent where this call's was due.
            const relay = new RelayAnswerDouble([HEAD, DATA, encodeRelayFrame(FRAME_KINDS.end)]);
            const headers: HeaderList = exchange === undefined ? [] : [[RELAY_EXCHANGE_HEADER, exchange]];
            let ended = 0;
            const attempt = await readRelayReply({ ...relay.reply, headers }, RELAY, EXCHANGE, () => ended++);
            assert.deepEqual([attempt.kind, relay.isClosed, ended], ["lost", true, 1]);
        });
    }

    for (const json of ["null", "7", "\"reply\"", "{}"]) {
        it(`takes the message ${json} for a malformed answer`, async () => {
            // Failure: the call ends by an exception, and its upstream's slot is never given back.
            const relay = new RelayAnswerDouble([encodeRelayMessage(FRAME_KINDS.message, JSON.parse(json))]);
            const attempt = await readRelayReply(relay.reply, RELAY, EXCHANGE, () => undefined);
            assert.equal(attempt.kind === "lost" ? attempt.err.reason : attempt.kind, "malformed");
        });
    }

    describe("a statement that a request was not sent", () => {
        const NOT_SENT = encodeRelayMessage(FRAME_KINDS.message, { kind: "not-sent", reason: "full", detail: "" });

        async function read(status: number, headers: HeaderList): Promise<string> {
            const { reply } = new RelayAnswerDouble([NOT_SENT]);
            return (await readRelayReply({ ...reply, status, headers }, RELAY, EXCHANGE, () => undefined)).kind;
        }

        for (const status of [200, 403, 404, 413, 431]) {
            it(`is believed with status ${status} only if it names the request to the relay`, async () => {
                // Failure: another host sends the request too, though something at the relay's address has sent it.
                assert.equal(await read(status, [[RELAY_EXCHANGE_HEADER, EXCHANGE]]), "not-sent");
                assert.equal(await read(status, [[RELAY_EXCHANGE_HEADER, "host-1/2"]]), "lost");
                assert.equal(await read(status, []), "lost");
            });
        }
    });
});
