import assert from "node:assert/strict";
import { after, before, beforeEach, describe, it } from "node:test";
import { Address, SystemClock } from "../../ports/index.js";
import { hashKey } from "../../workspace/index.js";
import { BODY_BYTES, CallerServer, FakeEngine, HOTEL_KEY, RawAnswer, RawCaller } from "../fixtures/index.js";

const CHAT = { model: "draft", messages: [{ role: "user", content: "sheet" }] };
/** Ends a test that hangs. */
const LIMIT = { timeout: 20_000 };
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

/** Checks that an answer is an error of the usual shape, and gives its status, type and outcome. */
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

async function waitUntil(look: () => boolean): Promise<void> {
    while (!look()) await new Promise(resolve => setImmediate(resolve));
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

    async function ask(request: RawRequest): Promise<RawAnswer | undefined> {
        const caller = await RawCaller.connect(address);
        caller.send(format(request));
        const answer = await caller.answer();
        caller.connection.reset();
        return answer;
    }

    describe("refuses before anything runs:", () => {
        const cases: readonly (readonly [what: string, request: RawRequest, status: number, type: string])[] = [
            ["a body that is no JSON", { body: "{\"model\":" }, 400, "malformed"],
            ["a body that is another JSON", { body: "[1]" }, 400, "malformed"],
            ["a chat without messages", { body: "{\"model\":\"draft\",\"messages\":[]}" }, 400, "malformed"],
            ["a model that it does not have", { body: JSON.stringify({ ...CHAT, model: "x" }) }, 404, "pool-unknown"],
            ["no key", { headers: [] }, 401, "key-missing"],
            ["another scheme", { headers: ["authorization: Basic c3F4"] }, 401, "key-missing"],
            ["a key of another form", { headers: ["authorization: Bearer sqx_12"] }, 401, "key-missing"],
            ["two keys", { headers: [AUTHORIZATION, AUTHORIZATION] }, 400, "key-ambiguous"],
            ["an unknown key", { headers: [`authorization: Bearer sqx_${"1".repeat(32)}`] }, 401, "key-unknown"],
            ["a class that it lacks", { headers: [AUTHORIZATION, "x-sequoiamux-class: x"] }, 400, "class-unknown"],
            ["a method", { method: "DELETE" }, 405, "method-unknown"],
            ["a service's method", { method: "TRACE", path: "/v1/services/orders/" }, 405, "method-unknown"],
            ["a path", { path: "/v2/chat" }, 404, "not-found"],
            ["a body over the limit", { body: "x".repeat(BODY_BYTES + 1) }, 413, "body-too-large"],
            ["headers over the limit", { headers: [`x-large: ${"x".repeat(8_192)}`] }, 431, "headers-too-large"],
            ["bytes that are no HTTP", { method: "\u0001" }, 400, "malformed"],
        ];
        for (const [what, request, status, type] of cases) {
            it(what, async () => {
                assert.deepEqual(readError(await ask(request)), [status, type, "not-run"]);
                assert.equal(server.dispatcher.tickets.length, 0);
            });
        }

        it("a key that was withdrawn", async () => {
            const { workspaces } = server.control;
            const hotel = workspaces.get(hashKey(HOTEL_KEY))!;
            workspaces.delete(hashKey(HOTEL_KEY));
            const answer = await ask({});
            workspaces.set(hashKey(HOTEL_KEY), hotel);
            assert.deepEqual(readError(answer), [401, "key-unknown", "not-run"]);
        });

        it("headers that never end", async () => {
            const caller = await RawCaller.connect(address);
            caller.send("POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n");
            assert.deepEqual(readError(await caller.answer()), [408, "request-timeout", "not-run"]);
            await caller.ended();
        });

        it("a body that never ends", async () => {
            const caller = await RawCaller.connect(address);
            caller.send(format({}).slice(0, -1));
            assert.deepEqual(readError(await caller.answer()), [408, "request-timeout", "not-run"]);
            await caller.ended();
        });

        it("a body of unknown length that goes over the limit, and reads no more of it soon after", LIMIT, async () => {
            // An entry spends its network for half a minute on a caller that it has refused.
            // The caller goes on sending after its 413, and the entry goes on reading until the request's time is up.
            // Cause: an HTTP server reads the rest of a body in order to keep the connection.
            const patient = new CallerServer();
            const caller = await RawCaller.connect(await patient.start({ requestTimeoutMs: 600_000 }));
            const head = format({ headers: [AUTHORIZATION, "transfer-encoding: chunked"], body: "" });
            caller.send(head.replace("content-length: 0\r\n", ""));
            const chunk = `400\r\n${"x".repeat(0x400)}\r\n`;
            for (let sent = 0; sent <= BODY_BYTES; sent += 0x400) caller.send(chunk);
            assert.deepEqual(readError(await caller.answer()), [413, "body-too-large", "not-run"]);
            // Idle connections end by themselves; this caller never stops to send.
            const ended = caller.ended().then(() => true);
            const clock = new SystemClock();
            while (!await Promise.race([ended, clock.sleep(SEND_PAUSE_MS).then(() => false)])) caller.send(chunk);
            await patient.close();
        });
    });

    describe("a caller that leaves", () => {
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
            assert.ok(await caller.until("t0"));
            caller.connection.reset();
            await waitUntil(() => engine.resets > resets && server.requests.size === 0);
            assert.equal(server.dispatcher.completions.at(-1)!.outcome, "cancelled");
        });
    });

    describe("on one connection", () => {
        it("answers one request after the other, an error between them too", async () => {
            const caller = await RawCaller.connect(address);
            caller.send(format({}));
            assert.match((await caller.answer())!.body, /t0 t1/);
            caller.send(format({ body: "{" }));
            assert.deepEqual(readError(await caller.answer()), [400, "malformed", "not-run"]);
            caller.send(format({}));
            assert.match((await caller.answer())!.body, /t0 t1/);
            caller.connection.reset();
        });

        it("answers pipelined requests in their order", async () => {
            const caller = await RawCaller.connect(address);
            caller.send(format({}) + format({ path: "/v2/chat" }) + format({}));
            assert.match((await caller.answer())!.body, /t0 t1/);
            assert.deepEqual(readError(await caller.answer()), [404, "not-found", "not-run"]);
            assert.match((await caller.answer())!.body, /t0 t1/);
            caller.connection.reset();
        });

        it("puts no error into an answer that is under way", async () => {
            // A caller that sends stray bytes behind its request reads "not run" in the middle of its stream.
            // The request streams; the stray bytes are no HTTP; the server answers them at once.
            // Cause: the answer to malformed bytes is written to the connection, whatever else is being written to it.
            engine.isEndless = true;
            const caller = await RawCaller.connect(address);
            caller.send(format({ body: JSON.stringify({ ...CHAT, stream: true }) }));
            assert.ok(await caller.until("t0"));
            caller.send("\u0001\r\n\r\n");
            assert.equal(await caller.until("not-run"), false);
        });
    });
});
