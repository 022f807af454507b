import assert from "node:assert/strict";
import { after, before, beforeEach, describe, it } from "node:test";
import { Address, SystemClock } from "../../ports/index.js";
import { hashKey } from "../../workspace/index.js";
import { BODY_BYTES, CallerServer, FakeEngine, HOTEL_KEY, RawAnswer, RawCaller } from "../fixtures/index.js";

const CHAT = { model: "draft", messages: [{ role: "user", content: "sheet" }] };
/** Fails a test that hangs. */
const TEST_TIMEOUT = { timeout: 20_000 };
const SEND_PAUSE_MS = 50;
const AUTHORIZATION = `authorization: Bearer ${HOTEL_KEY}`;

interface RawRequest {
    readonly method?: string;
    readonly path?: string;
    readonly headers?: readonly string[];
    readonly body?: string;
}

function format({ method, path, headers, body = JSON.stringify(CHAT) }: RawRequest): string {
    const lines = [`${method ?? "POST"} ${path ?? "/v1/chat/completions"} HTTP/1.1`, "host: entry"];
    const length = `content-length: ${Buffer.byteLength(body)}`;
    return [...lines, ...headers ?? [AUTHORIZATION], length, "", body].join("\r\n");
}

/** Asserts that an answer has the common error format, and returns its status, type and outcome. */
function readError(answer: RawAnswer | undefined): readonly [status: number, type: string, outcome: string] {
    assert.ok(answer, "no answer came");
    const { error } = JSON.parse(answer.body);
    assert.equal(answer.headers.get("content-type"), "application/json");
    assert.equal(answer.headers.get("x-sequoiamux-outcome"), error.outcome);
    assert.match(error.request, /^[0-9a-f]{32}$/);
    assert.equal(answer.headers.get("x-sequoiamux-request"), error.request);
    assert.ok(error.message.length > 0);
    return [answer.status, error.type, error.outcome];
}

async function waitUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) await new Promise(resolve => setImmediate(resolve));
}

describe("serveCallers", () => {
    const server = new CallerServer();
    const engine = new FakeEngine();
    let address: Address;
    let engineAddress: Address;

    before(async () => {
        address = await server.start();
        engineAddress = await engine.start();
    });

    beforeEach(() => {
        server.dispatcher.upstream = engineAddress;
        engine.isEndless = false;
        server.dispatcher.tickets.length = 0;
    });

    after(async () => {
        await server.close();
        await engine.close();
    });

    async function sendRequest(request: RawRequest): Promise<RawAnswer | undefined> {
        const caller = await RawCaller.connect(address);
        caller.send(format(request));
        const answer = await caller.readAnswer();
        caller.connection.reset();
        return answer;
    }

    describe("refuses before anything runs:", () => {
        const cases: readonly (readonly [what: string, request: RawRequest, status: number, type: string])[] = [
            ["a body that is not JSON", { body: "{\"model\":" }, 400, "malformed"],
            ["a body that is a JSON array", { body: "[1]" }, 400, "malformed"],
            ["a chat without messages", { body: "{\"model\":\"draft\",\"messages\":[]}" }, 400, "malformed"],
            [
                "a model that the workspace lacks",
                { body: JSON.stringify({ ...CHAT, model: "x" }) },
                404,
                "pool-unknown",
            ],
            ["no key", { headers: [] }, 401, "key-missing"],
            [
                "an authorization scheme other than Bearer",
                { headers: ["authorization: Basic c3F4"] },
                401,
                "key-missing",
            ],
            ["a malformed key", { headers: ["authorization: Bearer sqx_12"] }, 401, "key-missing"],
            ["two keys", { headers: [AUTHORIZATION, AUTHORIZATION] }, 400, "key-ambiguous"],
            ["an unknown key", { headers: [`authorization: Bearer sqx_${"1".repeat(32)}`] }, 401, "key-unknown"],
            [
                "a class that the workspace lacks",
                { headers: [AUTHORIZATION, "x-sequoiamux-class: x"] },
                400,
                "class-unknown",
            ],
            ["an unsupported method for chats", { method: "DELETE" }, 405, "method-unknown"],
            [
                "an unsupported method for services",
                { method: "TRACE", path: "/v1/services/orders/" },
                405,
                "method-unknown",
            ],
            ["an unknown path", { path: "/v2/chat" }, 404, "not-found"],
            ["a body over the limit", { body: "x".repeat(BODY_BYTES + 1) }, 413, "body-too-large"],
            ["headers over the limit", { headers: [`x-large: ${"x".repeat(8_192)}`] }, 431, "headers-too-large"],
            ["bytes that are not HTTP", { method: "\u0001" }, 400, "malformed"],
        ];
        for (const [what, request, status, type] of cases) {
            it(what, async () => {
                assert.deepEqual(readError(await sendRequest(request)), [status, type, "not-run"]);
                assert.equal(server.dispatcher.tickets.length, 0);
            });
        }

        it("a withdrawn key", async () => {
            const { workspaces } = server.control;
            const hotel = workspaces.get(hashKey(HOTEL_KEY))!;
            workspaces.delete(hashKey(HOTEL_KEY));
            const answer = await sendRequest({});
            workspaces.set(hashKey(HOTEL_KEY), hotel);
            assert.deepEqual(readError(answer), [401, "key-unknown", "not-run"]);
        });

        it("headers that never end", async () => {
            const caller = await RawCaller.connect(address);
            caller.send("POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n");
            assert.deepEqual(readError(await caller.readAnswer()), [408, "request-timeout", "not-run"]);
            await caller.awaitEnd();
        });

        it("a body that never ends", async () => {
            const caller = await RawCaller.connect(address);
            caller.send(format({}).slice(0, -1));
            assert.deepEqual(readError(await caller.readAnswer()), [408, "request-timeout", "not-run"]);
            await caller.awaitEnd();
        });

        it("a body of unknown length over the limit, and soon stops reading it", TEST_TIMEOUT, async () => {
            // Failure: an entry spends network capacity for half a minute on a caller that it has refused. The caller continues to send
            // after its 413, and the entry reads until the request times out, since HTTP servers read the rest of a body in order to
            // keep the connection.
            const patient = new CallerServer();
            const caller = await RawCaller.connect(await patient.start({ requestTimeoutMs: 600_000 }));
            const head = format({ headers: [AUTHORIZATION, "transfer-encoding: chunked"], body: "" });
            caller.send(head.replace("content-length: 0\r\n", ""));
            const chunk = `400\r\n${"x".repeat(0x400)}\r\n`;
            for (let sent = 0; sent <= BODY_BYTES; sent += 0x400) caller.send(chunk);
            assert.deepEqual(readError(await caller.readAnswer()), [413, "body-too-large", "not-run"]);
            // Idle connections are closed by the server anyway; this caller never stops sending.
            const ended = caller.awaitEnd().then(() => true);
            const clock = new SystemClock();
            while (!await Promise.race([ended, clock.sleep(SEND_PAUSE_MS).then(() => false)])) caller.send(chunk);
            await patient.close();
        });
    });

    describe("a caller that disconnects", () => {
        it("gives up its place in the queue", async () => {
            server.dispatcher.upstream = undefined;
            const caller = await RawCaller.connect(address);
            caller.send(format({}));
            await waitUntil(() => server.dispatcher.tickets.length === 1);
            caller.connection.reset();
            await waitUntil(() => server.dispatcher.cancelled.length === 1 && server.requests.size === 0);
        });

        it("frees the engine that streams to it", async () => {
            engine.isEndless = true;
            const resets = engine.resets;
            const caller = await RawCaller.connect(address);
            caller.send(format({ body: JSON.stringify({ ...CHAT, stream: true }) }));
            assert.ok(await caller.readUntil("t0"));
            caller.connection.reset();
            await waitUntil(() => engine.resets > resets && server.requests.size === 0);
            assert.equal(server.dispatcher.completions.at(-1)!.outcome, "cancelled");
        });
    });

    it("refuses a request whose body is still arriving when the process is about to exit", TEST_TIMEOUT, async () => {
        // Failure: a caller gets a closed connection and can't tell whether its request has run.
        const stopping = new CallerServer();
        const caller = await RawCaller.connect(await stopping.start());
        caller.send(format({}).slice(0, -1));
        stopping.exitAbort.abort();
        assert.deepEqual(readError(await caller.readAnswer()), [503, "draining", "not-run"]);
        caller.connection.reset();
        await stopping.close();
    });

    describe("on one connection", () => {
        it("answers consecutive requests, with an error between them", async () => {
            const caller = await RawCaller.connect(address);
            caller.send(format({}));
            assert.match((await caller.readAnswer())!.body, /t0 t1/);
            caller.send(format({ body: "{" }));
            assert.deepEqual(readError(await caller.readAnswer()), [400, "malformed", "not-run"]);
            caller.send(format({}));
            assert.match((await caller.readAnswer())!.body, /t0 t1/);
            caller.connection.reset();
        });

        it("answers pipelined requests in order", async () => {
            const caller = await RawCaller.connect(address);
            caller.send(format({}) + format({ path: "/v2/chat" }) + format({}));
            assert.match((await caller.readAnswer())!.body, /t0 t1/);
            assert.deepEqual(readError(await caller.readAnswer()), [404, "not-found", "not-run"]);
            assert.match((await caller.readAnswer())!.body, /t0 t1/);
            caller.connection.reset();
        });

        it("writes no error into an answer that is being sent", async () => {
            // Failure: a caller that sends stray bytes after its request reads "not run" in the middle of its stream. The bytes are not
            // HTTP, and the server writes the error for them to the connection immediately, while the stream is being written.
            engine.isEndless = true;
            const caller = await RawCaller.connect(address);
            caller.send(format({ body: JSON.stringify({ ...CHAT, stream: true }) }));
            assert.ok(await caller.readUntil("t0"));
            caller.send("\u0001\r\n\r\n");
            assert.equal(await caller.readUntil("not-run"), false);
        });
    });
});
