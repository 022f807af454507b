import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpReply, VirtualClock } from "../../ports/index.js";
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
    private readonly clock = new VirtualClock();
    readonly run = new RunningRequest({} as never, this.clock);

    /** @param reads - Whether the caller reads what it is sent. */
    constructor(private readonly reads: boolean) {}

    relay({ reply }: AnswerDouble): Promise<AttemptResult> {
        const silence = { expectBeginning: () => this.expectations++, pause: () => undefined };
        const call = { arrivedAt: 0 };
        const attempt = { run: this.run, answer: this, stream: {}, call, silence } as unknown as Attempt;
        return relayAnswer({ clock: this.clock } as unknown as CallContext, attempt, reply, HEAD);
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
});
