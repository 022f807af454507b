import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { CallerBudget } from "../callerBudget/index.js";
import { ServerResources } from "../connectionIntake/index.js";
import { HttpHandler, HttpLimits, HttpListener } from "../http/index.js";
import { ReceivedGarbage } from "../receivedGarbage/index.js";
import { TurnQueue } from "../turnQueue/index.js";
import { serveNodeHttp } from "./index.js";

/** Aborts a test that hangs. */
const TEST_TIMEOUT = { timeout: 20_000 };
const LIMITS: HttpLimits = {
    headerBytes: 16_384,
    headerTimeoutMs: 6_000,
    requestTimeoutMs: 6_000,
    idleTimeoutMs: 6_000,
};
const SHORT_LIMITS: HttpLimits = { ...LIMITS, headerTimeoutMs: 20, idleTimeoutMs: 20 };
/** Longer than the interval at which timeouts are checked, which is a sixth of the first limits. */
const SILENCE_MS = 1_500;
const RESOURCES: ServerResources = {
    budget: new CallerBudget({ bytes: Number.POSITIVE_INFINITY }, () => performance.now()),
    queue: new TurnQueue(),
    garbage: new ReceivedGarbage(),
};
const CHUNKS = 200_000;
const CHUNKS_PER_WRITE = 1_000;
/** Heap that the body and the state of its connection may take, in bytes; a buffer for each chunk takes ten times as much. */
const MAX_HEAP_BYTES = 6 * 1024 * 1024;
const SETTLE_MS = 200;

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Returns the size of the heap without garbage, in bytes. */
function measureHeap(): number {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
}

async function readToEnd(socket: Socket): Promise<string> {
    let text = "";
    for await (const chunk of socket) text += chunk;
    return text;
}

describe("the body of a request", () => {
    it("takes memory by its size, however small its chunks are", TEST_TIMEOUT, async () => {
        // Failure: one caller ends the process with a body within its limit, as each chunk of one byte takes hundreds of bytes.
        const listener = await serveNodeHttp({ host: "127.0.0.1", port: 0 }, LIMITS, async (req, res) => {
            await req.body(CHUNKS);
            res.head(200, [["connection", "close"]]);
            res.end();
        }, RESOURCES);
        const socket = connect(listener.address.port, "127.0.0.1");
        socket.write("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
        const before = measureHeap();
        for (let sent = 0; sent < CHUNKS; sent += CHUNKS_PER_WRITE) {
            if (!socket.write("1\r\nx\r\n".repeat(CHUNKS_PER_WRITE))) await once(socket, "drain");
        }
        // The server has read as far as the buffers of both ends allow.
        await sleep(SETTLE_MS);
        const heapBytes = measureHeap() - before;
        socket.write("0\r\n\r\n");
        assert.match(await readToEnd(socket), /^HTTP\/1.1 200 /);
        await listener.close();
        assert.ok(heapBytes < MAX_HEAP_BYTES, `${heapBytes} bytes`);
    });
});

describe("the budget of a server's callers", () => {
    const BODY_BYTES = 20_000;
    const REQUEST_BYTES = 24 * 1_024;
    /** Room for one body and two requests. */
    const ROOM_BYTES = BODY_BYTES + 2 * REQUEST_BYTES;
    const HEAD = `POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;
    const BODY = "x".repeat(BODY_BYTES);
    let now = 0;
    let budget: CallerBudget;
    let listener: HttpListener;

    async function open(limitBytes = BODY_BYTES, budgetBytes = ROOM_BYTES): Promise<void> {
        now = 0;
        budget = new CallerBudget({ bytes: budgetBytes }, () => now);
        listener = await serveNodeHttp({ host: "127.0.0.1", port: 0 }, LIMITS, async (req, res) => {
            const body = await req.body(limitBytes);
            const text = body.caseOf({ Left: ({ reason }) => reason as string, Right: ({ length }) => String(length) });
            res.head(200, [["connection", "close"], ["content-length", String(text.length)]]);
            res.end(text);
        }, { budget, queue: new TurnQueue(), garbage: new ReceivedGarbage() });
    }

    function connectAndSend(text: string): Socket {
        const socket = connect(listener.address.port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(text);
        return socket;
    }

    async function exchange(text: string): Promise<string> {
        return (await readToEnd(connectAndSend(text))).split("\r\n\r\n")[1];
    }

    async function awaitBytes(bytes: number): Promise<void> {
        while (budget.bytes !== bytes) await sleep(1);
    }

    afterEach(() => listener.close());

    it("holds a body until its answer has been sent", TEST_TIMEOUT, async () => {
        // Failure: room that is never given back, so that in the end everybody is refused.
        await open();
        for (let count = 0; count < 3; count++) assert.equal(await exchange(HEAD + BODY), String(BODY_BYTES));
        await awaitBytes(0);
    });

    it("refuses a body that it has no room for, before the body has come", TEST_TIMEOUT, async () => {
        // Failure: bodies are held without a bound on their sum.
        await open();
        const first = connectAndSend(HEAD);
        await awaitBytes(BODY_BYTES + REQUEST_BYTES);
        assert.equal(await exchange(HEAD), "over-capacity");
        first.write(BODY);
        assert.match(await readToEnd(first), /20000$/);
        await awaitBytes(0);
    });

    it("takes the room of a body whose caller is stalled", TEST_TIMEOUT, async () => {
        // Failure: bodies that stop short of their end keep others out for as long as they like.
        await open();
        const stalled = connectAndSend(HEAD + BODY.slice(1));
        await awaitBytes(BODY_BYTES + REQUEST_BYTES);
        now += 1_000;
        assert.equal(await exchange(HEAD + BODY), String(BODY_BYTES));
        assert.match(await readToEnd(stalled), /over-capacity$/);
    });

    it("refuses a request that it has no room for, with a body or without", TEST_TIMEOUT, async () => {
        // Failure: requests under way take memory without a bound on their number.
        await open(BODY_BYTES, REQUEST_BYTES + 1);
        const first = connectAndSend("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\n");
        await awaitBytes(REQUEST_BYTES + 1);
        assert.equal(await exchange("GET / HTTP/1.1\r\nhost: a\r\n\r\n"), "over-capacity");
        first.destroy();
        await awaitBytes(0);
        assert.equal(await exchange("GET / HTTP/1.1\r\nhost: a\r\n\r\n"), "0");
    });

    it("gets back the room of a body that is refused, or whose caller has left", TEST_TIMEOUT, async () => {
        // Failure: a path on which room is not given back.
        await open(BODY_BYTES / 2);
        assert.equal(await exchange(HEAD), "too-large");
        const chunked = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        assert.equal(await exchange(`${chunked}4e20\r\n${BODY}\r\n0\r\n\r\n`), "too-large");
        const leaving = connectAndSend(`${chunked}64\r\n${BODY.slice(0, 100)}\r\n`);
        while (budget.bytes <= REQUEST_BYTES) await sleep(1);
        leaving.resetAndDestroy();
        await awaitBytes(0);
    });
});

describe("shorter limits that are set while a server runs", () => {
    let listener: HttpListener | undefined;

    async function open(handler: HttpHandler): Promise<Socket> {
        listener = await serveNodeHttp({ host: "127.0.0.1", port: 0 }, LIMITS, handler, RESOURCES);
        return connect(listener.address.port, "127.0.0.1");
    }

    afterEach(() => listener?.close());

    const silences = { "before its head": [SILENCE_MS, 0], "between its head and its first bytes": [0, SILENCE_MS] };
    for (const [where, [beforeHeadMs, afterHeadMs]] of Object.entries(silences)) {
        it(`do not end an answer that is silent ${where}`, TEST_TIMEOUT, async () => {
            // Failure: a stream is cut by a change of the configuration while its upstream is silent.
            const socket = await open(async (_, res) => {
                listener!.setLimits(SHORT_LIMITS);
                await sleep(beforeHeadMs);
                res.head(200, [["connection", "close"]]);
                await sleep(afterHeadMs);
                res.end("whole");
            });
            socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
            assert.match(await readToEnd(socket), /^HTTP\/1.1 200 [^]*whole\r\n0\r\n\r\n$/);
        });
    }

    it("do not end a request whose body is arriving", TEST_TIMEOUT, async () => {
        // Failure: a caller's request is refused by a change of the configuration while it sends a long body.
        const socket = await open(async (req, res) => {
            listener!.setLimits(SHORT_LIMITS);
            setTimeout(() => socket.write("dy"), SILENCE_MS);
            const body = await req.body(100);
            res.head(200, [["connection", "close"]]);
            res.end(body.orDefault(Buffer.from("none")));
        });
        socket.write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbo");
        assert.match(await readToEnd(socket), /^HTTP\/1.1 200 [^]*body\r\n0\r\n\r\n$/);
    });
});

describe("the error of a request that could not be received", () => {
    const FIRST = "POST /first HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx";
    const BROKEN_BODY = "POST /second HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nno size\r\n";

    it("is not sent while an earlier request of its connection runs", TEST_TIMEOUT, async () => {
        // Failure: the caller takes it for the answer to the earlier one, which would not have run.
        let running = 0;
        const listener = await serveNodeHttp({ host: "127.0.0.1", port: 0 }, LIMITS, async (req, res) => {
            await req.body(CHUNKS);
            if (req.path !== "/first") return;
            running++;
            await sleep(SETTLE_MS);
            res.head(200, []);
            res.end();
        }, RESOURCES);
        const socket = connect(listener.address.port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(FIRST + BROKEN_BODY);
        const received = await readToEnd(socket).catch(() => "");
        await listener.close();
        assert.equal(running, 1);
        assert.doesNotMatch(received, /^HTTP\/1\.1 4/);
    });
});
