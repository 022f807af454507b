import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { answerLength, digestBody, expectedAnswer } from "../../emulator/index.js";
import {
    findHeader,
    HttpRequest,
    HttpResponse,
    MemoryFabric,
    MemoryHttpFabric,
    SeededRandom,
    VirtualClock,
} from "../../ports/index.js";
import { ErrorBody, IDEMPOTENCY_HEADER, OUTCOME_HEADER } from "../../protocol/index.js";
import { RequestResult } from "../requestResult/index.js";
import { TraceChat, TraceService } from "../trace/index.js";
import { Caller, CallerConfig, DEFAULT_CALLER } from "./index.js";

const LIMIT_MS = 600_000;
const CHAT: TraceChat = {
    at_ms: 0,
    workspace: "depot",
    class: "routing",
    kind: "chat",
    model: "shared-model",
    messages: [{ role: "user", content: "Which gate? [tokens=6]" }],
    max_tokens: 20,
    tokens: 6,
    stream: true,
};
const BOOKING: TraceService = {
    at_ms: 0,
    workspace: "depot",
    class: "bookings",
    kind: "service",
    service: "dispatch",
    path: "/bookings",
    body: { reference: "b-1" },
    idempotency_key: "b-1",
};
const REFUSAL: ErrorBody = {
    error: { type: "over-capacity", message: "", outcome: "not-run", retry_after_ms: 2_000 },
};

type AnswerHandler = (req: HttpRequest, res: HttpResponse) => Promise<void>;

/** Starts a system with two addresses that sends these answers in order and repeats the last one. */
async function startSystem(answers: readonly AnswerHandler[], change: Partial<CallerConfig> = {}) {
    const clock = new VirtualClock();
    const httpFabric = new MemoryHttpFabric(new MemoryFabric(clock, () => 1));
    const arrivals: string[] = [];
    const addresses = ["a", "b"].map(host => ({ host, port: 1 }));
    for (const address of addresses) {
        await httpFabric.http(address.host).serve(address, undefined as never, async (req, res) => {
            arrivals.push(`${address.host} ${findHeader(req.headers, IDEMPOTENCY_HEADER) ?? ""}`.trim());
            await answers[Math.min(arrivals.length, answers.length) - 1](req, res);
        });
    }
    const caller = new Caller(
        { clock, random: new SeededRandom(1), http: httpFabric.http("caller") },
        { ...DEFAULT_CALLER, addresses, ...change },
    );
    const run = (request: TraceChat | TraceService): Promise<RequestResult> =>
        clock.runUntil(caller.run(request, "key"), LIMIT_MS);
    return { clock, httpFabric, arrivals, run };
}

function answerWithStream(
    text: string,
    tail = `data: ${JSON.stringify(makeChunk({}, "stop"))}\n\ndata: [DONE]\n\n`,
): AnswerHandler {
    return async (_, res) => {
        res.head(200, [["content-type", "text/event-stream"]]);
        for (const token of text.split(/(?<= )/)) {
            void res.write(`data: ${JSON.stringify(makeChunk({ content: token }))}\n\n`);
        }
        res.end(tail);
    };
}

function makeChunk(delta: object, finish_reason?: string): object {
    return { choices: [{ index: 0, delta, finish_reason }] };
}

function answerWithBody(status: number, body: unknown): AnswerHandler {
    return async (_, res) => {
        res.head(status, []);
        res.end(JSON.stringify(body));
    };
}

const resetConnection: AnswerHandler = async (_, res) => res.reset();
const neverAnswer: AnswerHandler = () => new Promise(() => undefined);
const EXPECTED_ANSWER = expectedAnswer(CHAT.messages, answerLength(CHAT.messages));
const bookingDigest = digestBody(Buffer.from(JSON.stringify(BOOKING.body)));

describe("Caller", () => {
    describe("a chat", () => {
        it("is answered when each token came once and in order", async () => {
            const { run } = await startSystem([answerWithStream(EXPECTED_ANSWER)]);
            const result = await run(CHAT);
            assert.deepEqual([result.verdict, result.tokens], ["answered", 6]);
        });

        it("is doubled when a token arrives twice, as after a faulty resume", async () => {
            const tokens = EXPECTED_ANSWER.split(/(?<= )/);
            const { run } = await startSystem([answerWithStream([...tokens.slice(0, 3), ...tokens.slice(2)].join(""))]);
            assert.equal((await run(CHAT)).verdict, "doubled");
        });

        it("is lost when the answer belongs to another request", async () => {
            const { run } = await startSystem([answerWithStream(expectedAnswer([{ role: "user", content: "x" }], 6))]);
            const { verdict, reason } = await run(CHAT);
            assert.deepEqual([verdict, reason], ["lost", "wrong-answer"]);
        });

        it("is lost when the stream ends without its terminal event", async () => {
            const { run } = await startSystem([answerWithStream(EXPECTED_ANSWER, "")]);
            const { verdict, reason } = await run(CHAT);
            assert.deepEqual([verdict, reason], ["lost", "no-terminal-event"]);
        });

        it("is lost when nothing arrives within the caller's timeout", async () => {
            const { run } = await startSystem([neverAnswer], { timeoutMs: 5_000 });
            const { verdict, reason } = await run(CHAT);
            assert.deepEqual([verdict, reason], ["lost", "timeout"]);
        });

        it("has failed when the last event reports that it ran in part", async () => {
            const error = { ...REFUSAL.error, type: "key-withdrawn", outcome: "partly-run" };
            const { run } = await startSystem([
                answerWithStream(EXPECTED_ANSWER, `data: ${JSON.stringify({ error })}\n\n`),
            ]);
            const { verdict, reason } = await run(CHAT);
            assert.deepEqual([verdict, reason], ["failed", "key-withdrawn"]);
        });

        it("is refused when it was not run, or is retried after the delay in the refusal", async () => {
            const once = await startSystem([answerWithBody(503, REFUSAL)]);
            assert.equal((await once.run(CHAT)).verdict, "refused");
            const twice = await startSystem([answerWithBody(503, REFUSAL), answerWithStream(EXPECTED_ANSWER)], {
                retries: 1,
            });
            const { verdict, attempts, totalMs } = await twice.run(CHAT);
            assert.deepEqual([verdict, attempts], ["answered", 2]);
            assert.ok(totalMs > 2_000);
        });

        it("is sent to another address when a host refuses the connection", async () => {
            const { httpFabric, run } = await startSystem([answerWithStream(EXPECTED_ANSWER)]);
            httpFabric.crash("a");
            for (let round = 0; round < 4; round++) assert.equal((await run(CHAT)).verdict, "answered");
        });

        it("is resent when its connection broke before the first token, and after it only if so configured", async () => {
            const cutBeforeToken = await startSystem([resetConnection, answerWithStream(EXPECTED_ANSWER)]);
            assert.deepEqual((await cutBeforeToken.run(CHAT)).verdict, "answered");
            const broken: AnswerHandler = async (_, res) => {
                res.head(200, []);
                void res.write(
                    `data: ${JSON.stringify(makeChunk({ content: EXPECTED_ANSWER.split(/(?<= )/)[0] }))}\n\n`,
                );
                res.reset();
            };
            const cutAfterToken = await startSystem([broken, answerWithStream(EXPECTED_ANSWER)]);
            assert.deepEqual((await cutAfterToken.run(CHAT)).reason, "cut");
            const always = await startSystem([broken, answerWithStream(EXPECTED_ANSWER)], { chatResends: "always" });
            const { verdict, attempts } = await always.run(CHAT);
            assert.deepEqual([verdict, attempts], ["answered", 2]);
        });

        it("is left when its caller disconnects, as the trace specifies", async () => {
            const { run } = await startSystem([neverAnswer]);
            assert.equal((await run({ ...CHAT, leave_after_ms: 50 })).verdict, "left");
        });
    });

    describe("a call of a service", () => {
        it("is resent to the other address with the same idempotency key when its answer is lost", async () => {
            const { arrivals, run } = await startSystem([
                resetConnection,
                answerWithBody(200, { confirmed: bookingDigest, run: 1 }),
            ]);
            const { verdict, attempts } = await run(BOOKING);
            assert.deepEqual([verdict, attempts], ["answered", 2]);
            assert.deepEqual([...arrivals].sort(), ["a b-1", "b b-1"]);
        });

        it("is doubled when the answer reports a second run", async () => {
            const { run } = await startSystem([answerWithBody(200, { confirmed: bookingDigest, run: 2 })]);
            assert.equal((await run(BOOKING)).verdict, "doubled");
        });

        it("has failed, and is not resent, when the service itself answers with an error", async () => {
            const ownError: AnswerHandler = async (_, res) => {
                res.head(503, [[OUTCOME_HEADER, "answered"]]);
                res.end("{\"error\":\"closed for stocktaking\"}");
            };
            const { run } = await startSystem([ownError]);
            const { verdict, attempts } = await run(BOOKING);
            assert.deepEqual([verdict, attempts], ["failed", 1]);
        });

        it("has failed when the system cannot tell whether it ran", async () => {
            const error = { ...REFUSAL.error, type: "answer-lost", outcome: "unknown" };
            const { run } = await startSystem([answerWithBody(502, { error })]);
            assert.equal((await run(BOOKING)).verdict, "failed");
        });
    });
});
