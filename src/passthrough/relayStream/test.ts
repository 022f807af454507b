import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HttpReply, VirtualClock } from "../../ports/index.js";
import { Attempt, AttemptResult, SilenceWatch } from "../attempt/index.js";
import { CallContext } from "../callContext/index.js";
import { ReplyHead } from "../callDialect/index.js";
import { createStreamState } from "../streamState/index.js";
import { relayStream } from "./index.js";

const EVENT = "id: 1\ndata: one\n\n";

/** Records what is expected of the upstream, among the other steps of a stream. */
class RecordingWatch extends SilenceWatch {
    constructor(private readonly steps: string[]) {
        super();
    }

    expectBeginning(): void {}

    expectMore(): void {
        this.steps.push("expect more");
    }

    pause(): void {
        this.steps.push("pause");
    }
}

/** Relays a stream of two events, the second in two pieces. */
function relay(
    clock: VirtualClock,
    write: () => Promise<void>,
    signal: AbortSignal,
    steps: string[] = [],
    stream = createStreamState(),
): Promise<AttemptResult> {
    const call = { route: { resumable: false }, pool: "ledger", sharedParts: [], head: {}, arrivedAt: 0 };
    const attempt = {
        call,
        grant: {},
        run: { signal, waitFor() {} },
        answer: { write, sendHead() {}, end() {} },
        stream,
        silence: new RecordingWatch(steps),
        tokensPerEvent: 1,
    } as unknown as Attempt;
    const ctx = {
        clock,
        time: { now: () => 0 },
        dispatcher: { progress() {} },
        software: { find: () => undefined, isMixed: () => false },
        parts: { recordBegun() {} },
        dialect: { eventRules: () => ({ mayOmitIds: true, maxDataLines: 1 }) },
        metrics: { count() {} },
        logger: { warn() {} },
    } as unknown as CallContext;
    const body = (async function*(): AsyncGenerator<Uint8Array> {
        yield Buffer.from(EVENT);
        yield Buffer.from(EVENT.slice(0, 5));
        yield Buffer.from(EVENT.slice(5));
    })();
    const reply: HttpReply = { status: 200, headers: [["transfer-encoding", "chunked"]], body, reset() {} };
    return relayStream(ctx, attempt, reply, { headers: [] } as unknown as ReplyHead);
}

describe("relayStream", () => {
    it("expects nothing of the upstream while the caller takes an event", async () => {
        // A caller that reads slowly would have its stream moved off an upstream that is not silent.
        const clock = new VirtualClock();
        const steps: string[] = [];
        const write = async (): Promise<void> => {
            await clock.sleep(60_000);
            steps.push("written");
        };
        await clock.runUntil(relay(clock, write, new AbortController().signal, steps), 600_000);
        const event = ["pause", "written", "expect more"];
        assert.deepEqual(steps, [...event, ...event, "pause"]);
    });

    it("counts no event of a cancelled attempt as delivered", async () => {
        // Failure: a stream goes on at another upstream behind an event that its caller has never received.
        const stream = createStreamState();
        const cancelled = AbortSignal.abort();
        const result = await relay(new VirtualClock(), async () => undefined, cancelled, [], stream);
        assert.deepEqual([result.kind, stream.eventCount], ["ended", 0]);
    });

    it("ends when the call is cancelled while its caller does not read", async () => {
        // Failure: the slot and both connections stay taken until the caller closes its own.
        const clock = new VirtualClock();
        const cancel = new AbortController();
        const relayed = relay(clock, () => new Promise(() => undefined), cancel.signal);
        clock.after(1_000, () => cancel.abort());
        const result = await clock.runUntil(relayed, 10_000);
        assert.equal(result.kind, "ended");
    });
});
