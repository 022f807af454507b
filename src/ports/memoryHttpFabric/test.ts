import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import {
    Address,
    DEFAULT_HTTP_LIMITS,
    HttpCall,
    HttpError,
    HttpListener,
    HttpResponse,
    MemoryFabric,
    readReplyText,
    VirtualClock,
} from "../index.js";
import { MemoryHttpFabric } from "./index.js";

const ADDRESS: Address = { host: "server", port: 80 };
const TIMEOUT_MS = 1_000;

describe("kept connections of an in-memory server that stops", () => {
    let clock: VirtualClock;
    let web: MemoryHttpFabric;
    let listener: HttpListener;
    let responses: HttpResponse[];

    beforeEach(async () => {
        clock = new VirtualClock();
        web = new MemoryHttpFabric(new MemoryFabric(clock, () => 1));
        responses = [];
        listener = await web.http(ADDRESS.host).serve(ADDRESS, DEFAULT_HTTP_LIMITS, async (_, res) => {
            responses.push(res);
            res.head(200, []);
        });
    });

    function makeCall(): HttpCall {
        return {
            address: ADDRESS,
            method: "GET",
            path: "/",
            headers: [],
            newConnection: false,
            connectTimeoutMs: TIMEOUT_MS,
            headTimeoutMs: TIMEOUT_MS,
        };
    }

    async function begin() {
        return (await clock.runUntil(web.http("client").send(makeCall()), TIMEOUT_MS)).unsafeCoerce();
    }

    async function sendNext(): Promise<HttpError> {
        return (await clock.runUntil(web.http("client").send(makeCall()), TIMEOUT_MS)).swap().unsafeCoerce();
    }

    it("are closed at once when they are idle", async () => {
        // Failure: calls fail in memory that the real server would refuse, as connections that it has closed are used again.
        const reply = await begin();
        responses[0].end();
        await clock.runUntil(readReplyText(reply), TIMEOUT_MS);
        void listener.stopAccepting();
        await clock.advance(5);
        const { reason, mayHaveBeenSent } = await sendNext();
        assert.deepEqual([reason, mayHaveBeenSent], ["refused", false]);
    });

    it("are closed after the answer that is running", async () => {
        const reply = await begin();
        void listener.stopAccepting();
        responses[0].end();
        await clock.runUntil(readReplyText(reply), TIMEOUT_MS);
        const { reason, mayHaveBeenSent } = await sendNext();
        assert.deepEqual([reason, mayHaveBeenSent], ["refused", false]);
    });

    it("lose a request that crosses their close", async () => {
        const reply = await begin();
        responses[0].end();
        await clock.runUntil(readReplyText(reply), TIMEOUT_MS);
        void listener.stopAccepting();
        const { reason, mayHaveBeenSent } = await sendNext();
        assert.deepEqual([reason, mayHaveBeenSent], ["closed", true]);
        assert.equal(responses.length, 1);
    });

    it("count an answer as open until its client has it", async () => {
        const reply = await begin();
        responses[0].end();
        assert.equal(listener.countOpenAnswers().requests, 1);
        await clock.runUntil(Promise.all([listener.whenAnswered(), readReplyText(reply)]), TIMEOUT_MS);
        assert.equal(listener.countOpenAnswers().requests, 0);
    });
});
