import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Right } from "purify-ts";
import { PoolNumberings } from "../../eventStream/index.js";
import { HeaderList, HeldBytes, HttpError, HttpReply, VirtualClock } from "../../ports/index.js";
import { Attempt, AttemptResult } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";
import { CALL_HEADERS, NativeDialect } from "../nativeDialect/index.js";
import { createStreamState } from "../streamState/index.js";
import { sendCall } from "./index.js";

const REQUEST = "request-1";
const EVENT_STREAM = "text/event-stream";

/** Sends a call of a resumable stream once for each reply, and records what its caller receives. */
class Caller {
    written = "";
    sentStatus: number | undefined;
    private readonly stream = createStreamState();

    constructor(private readonly resumption?: object) {}

    async send(contentType: string, ...parts: (string | Error)[]): Promise<AttemptResult> {
        const reply = replyOf(contentType, parts);
        const attempt = {
            call: {
                route: { name: "letters", kind: "stream", resumable: true },
                pool: "ledger",
                sharedParts: [],
                head: { request: REQUEST, headers: [], lastEventId: this.resumption && "2" },
                resumption: this.resumption,
                body: Buffer.from(""),
                method: "POST",
                path: "/",
                arrivedAt: 0,
                deadlineAt: 60_000,
            },
            grant: { upstream: "i-1", incarnation: 1, priority: 0 },
            run: { signal: new AbortController().signal, waitFor() {} },
            answer: this.makeAnswer(),
            stream: this.stream,
            silence: { expectBeginning() {}, expectMore() {}, pause() {} },
            tokensPerEvent: 1,
        } as unknown as Attempt;
        const result = await sendCall(makeContext(reply), attempt);
        if (result.kind === "answered") result.deliver();
        return result;
    }

    private makeAnswer(): unknown {
        const sentStatus = (): number | undefined => this.sentStatus;
        return {
            get sentStatus() {
                return sentStatus();
            },
            sendHead: (status: number) => this.sentStatus = status,
            write: async (bytes: Uint8Array) => void (this.written += String(bytes)),
            sendWhole: (status: number, _headers: HeaderList, body: Uint8Array) => {
                this.sentStatus = status;
                this.written += String(body);
            },
            end() {},
        };
    }
}

function replyOf(contentType: string, parts: readonly (string | Error)[]): HttpReply {
    async function* body(): AsyncIterable<Uint8Array> {
        for (const part of parts) {
            if (part instanceof Error) throw part;
            yield Buffer.from(part);
        }
    }
    const headers: HeaderList = [
        [CALL_HEADERS.request, REQUEST],
        [CALL_HEADERS.signature, "1"],
        ["content-type", contentType],
        ["transfer-encoding", "chunked"],
    ];
    return { status: 200, headers, body: body(), reset() {} };
}

function makeContext(reply: HttpReply): CallContext {
    return {
        clock: new VirtualClock(),
        time: { now: () => 0 },
        upstreamHttp: { send: async () => Right(reply) },
        dispatcher: { progress() {} },
        software: { find: () => undefined, isMixed: () => false },
        parts: { recordBegun() {} },
        sendGuard: { recordAnswer() {} },
        dialect: new NativeDialect(),
        numberings: new PoolNumberings(),
        heldBytes: new HeldBytes(),
        metrics: { count() {} },
        logger: { warn() {} },
    } as unknown as CallContext;
}

function event(id: number): string {
    return `id: ${id}\ndata: event ${id}\n\n`;
}

describe("sendCall", () => {
    describe("an answer to a call of a stream", () => {
        it("is a stream of events whatever the case of its media type", async () => {
            // Failure: the caller gets garbage, since the answer is not taken for a stream.
            const caller = new Caller();
            const result = await caller.send("Text/Event-Stream", `${event(1)}q8Zx\n\n`);
            assert.deepEqual([result.kind, caller.written], ["ended", event(1)]);
        });

        it("does not end the stream where it is no stream of events", async () => {
            // Failure: a caller that takes up a stream gets bytes that prove nothing as its rest, and a complete answer.
            const caller = new Caller({ attempt: "request-0" });
            const result = await caller.send("text/plain", "q8Zx");
            assert.deepEqual([result.kind, caller.written], ["ended", ""]);
        });

        it("is not continued by a stream where the caller has a part of an answer that is none", async () => {
            // Failure: the caller gets the events of one upstream behind the broken body of another one.
            const caller = new Caller();
            const half = "x".repeat(300 * 1024);
            const broken = await caller.send("text/plain", half, new HttpError("closed", true, "broken off"));
            assert.equal(broken.kind, "ended");
            const result = await caller.send(EVENT_STREAM, event(1));
            assert.deepEqual([result.kind, caller.written.length], ["ended", half.length]);
        });
    });
});
