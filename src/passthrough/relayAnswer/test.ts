import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HeaderList, HeldBytes, HttpReply, VirtualClock } from "../../ports/index.js";
import { RunningRequest } from "../../request/index.js";
import { Attempt, AttemptResult } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";
import { ReplyHead } from "../callDialect/index.js";
import { relayAnswer } from "./index.js";

/** Time after which an attempt counts as hanging, in milliseconds. */
const HANG_MS = 10_000;
const HEAD = { headers: [] } as unknown as ReplyHead;

/** An upstream's answer, and whether its connection has been given up. */
class AnswerDouble {
    isClosed = false;

    constructor(private readonly chunk: Uint8Array, private readonly count: number) {}

    readonly reply: HttpReply = {
        status: 200,
        headers: [],
        body: this.send(),
        reset: () => this.isClosed = true,
    };

    private async *send(): AsyncIterable<Uint8Array> {
        try {
            for (let index = 0; index < this.count; index++) yield this.chunk;
        }
        finally {
            this.isClosed = true;
        }
    }
}

/** Relays an answer to a caller, of which it is the `CallAnswer`. */
class CallerDouble {
    readonly received: Uint8Array[] = [];
    /** How often the next piece of the answer was expected anew. */
    expectations = 0;
    sentStatus: number | undefined;
    /** The headers of an answer that was sent in one piece. */
    sentHeaders: HeaderList | undefined;
    private readonly clock = new VirtualClock();
    readonly run = new RunningRequest({} as never, this.clock);

    /** @param reads - Whether the caller reads what it is sent. */
    constructor(private readonly reads: boolean) {}

    /** @param method - The method of the call. */
    relay({ reply }: AnswerDouble, method = "GET", head = HEAD): Promise<AttemptResult> {
        const silence = { expectBeginning: () => this.expectations++, pause: () => undefined };
        const call = { arrivedAt: 0, method };
        const attempt = { run: this.run, answer: this, stream: {}, call, silence } as unknown as Attempt;
        return relayAnswer(
            { clock: this.clock, heldBytes: new HeldBytes() } as unknown as CallContext,
            attempt,
            reply,
            head,
        );
    }

    sendWhole(status: number, headers: HeaderList): void {
        this.sentStatus = status;
        this.sentHeaders = headers;
    }

    sendHead(status: number): void {
        this.sentStatus = status;
    }

    write(bytes: Uint8Array): Promise<void> {
        this.received.push(Buffer.from(bytes));
        return this.reads ? Promise.resolve() : new Promise(() => undefined);
    }
}

describe("relayAnswer", () => {
    it("ends when the call is cancelled while its caller does not read", async () => {
        // Failure: the slot and both connections stay taken until the caller closes its own.
        const caller = new CallerDouble(false);
        const answer = new AnswerDouble(Buffer.alloc(64 * 1024), 1_000_000);
        const relayed = caller.relay(answer);
        await sleep(0);
        caller.run.cancel("timeout");
        const hang = new AbortController();
        const result = await Promise.race([relayed, sleep(HANG_MS, undefined, { signal: hang.signal })]);
        hang.abort();
        assert.equal(result?.kind, "ended");
        assert.ok(answer.isClosed);
    });

    it("expects the next piece anew with each one that has come", async () => {
        // Failure: an answer that arrives steadily is run a second time elsewhere, since it is not whole in time.
        const caller = new CallerDouble(true);
        await caller.relay(new AnswerDouble(Buffer.from("ab"), 5));
        assert.equal(caller.expectations, 5);
    });

    it("forwards a large answer in small pieces whole", async () => {
        const caller = new CallerDouble(true);
        const result = await caller.relay(new AnswerDouble(Buffer.from("ab"), 200_000));
        assert.equal(result.kind, "answered");
        assert.ok(Buffer.concat(caller.received).equals(Buffer.alloc(400_000, "ab")));
    });

    describe("the length of an answer", () => {
        /** Relays an answer of one piece; returns the length that its caller is told. */
        async function readLength(method: string, status: number, stated: HeaderList, body = ""): Promise<unknown> {
            const caller = new CallerDouble(true);
            const answer = new AnswerDouble(Buffer.from(body), body === "" ? 0 : 1);
            const head = { headers: stated } as unknown as ReplyHead;
            const result = await caller.relay({ reply: { ...answer.reply, status } } as AnswerDouble, method, head);
            assert.equal(result.kind, "answered");
            if (result.kind === "answered") result.deliver();
            return caller.sentHeaders?.filter(([name]) => name === "content-length").map(([, length]) => length);
        }

        const STATED: HeaderList = [["content-length", "7"]];

        it("is that of its body", async () => {
            assert.deepEqual(await readLength("GET", 200, STATED, "abc"), ["3"]);
        });

        it("stays as stated where the method or the status excludes a body", async () => {
            // Failure: a caller that asks for the size of a document by HEAD, or whether it has changed, is told that it is empty.
            assert.deepEqual(await readLength("HEAD", 200, STATED), ["7"]);
            assert.deepEqual(await readLength("GET", 304, STATED), ["7"]);
            assert.deepEqual(await readLength("HEAD", 200, []), []);
        });

        it("is missing where the status excludes both", async () => {
            // Failure: a caller waits for a body behind a 204, or takes the next answer's bytes for it.
            assert.deepEqual(await readLength("GET", 204, STATED), []);
            assert.deepEqual(await readLength("HEAD", 204, STATED), []);
        });
    });
});
