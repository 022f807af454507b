import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, Server } from "node:http";
import { AddressInfo, connect, Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerBudget } from "../callerBudget/index.js";
import { HttpListener, HttpRequest, HttpResponse } from "../http/index.js";
import { NodeHttp } from "../nodeHttp/index.js";
import { ReceivedGarbage } from "../receivedGarbage/index.js";
import { ServerConnections } from "../serverConnections/index.js";
import { limitBodyDiscard } from "../serverGuards/index.js";
import { TurnQueue } from "../turnQueue/index.js";

const TEST_TIMEOUT = { timeout: 60_000 };
const LIMITS = { headerBytes: 16_384, headerTimeoutMs: 20_000, requestTimeoutMs: 20_000 };
const LIMIT_BYTES = 1_000_000;
const CHUNKS = 100_000;
const PIPELINED = 100;
const MAX_UNDER_WAY = 8;
const WORK_MS = 2;
const MAX_CHUNKS_PER_TURN = 2_000;

describe("the rest of a body that was refused", () => {
    const MAX_READ_BYTES = 512 * 1_024;
    let server: Server;
    let accepted: Socket | undefined;

    before(async () => {
        server = createServer();
        const resources = {
            budget: new CallerBudget({ bytes: LIMIT_BYTES }, () => 0),
            queue: new TurnQueue(),
            garbage: new ReceivedGarbage(),
        };
        limitBodyDiscard(server, new ServerConnections(server, resources));
        server.on("connection", socket => accepted = socket);
        server.on("request", (_, res) => res.writeHead(413, { "content-length": 0 }).end());
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });

    after(() => server.close());

    async function send(bodyBytes: number): Promise<Socket> {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
        socket.write("x".repeat(bodyBytes));
        await once(socket, "data");
        return socket;
    }

    it("is read as far as a caller may have sent it before the answer", TEST_TIMEOUT, async () => {
        // Failure: a caller with an ordinary body loses its connection, and perhaps the answer, with each refusal.
        const socket = await send(200_000);
        while (accepted!.bytesRead < 200_000) await nextTurn();
        socket.write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
        assert.match(String(await once(socket, "data")), /^HTTP\/1.1 413 /);
        socket.destroy();
    });

    it("is not read beyond that", TEST_TIMEOUT, async () => {
        // Failure: bytes that are read only to be thrown away take memory faster than it is collected.
        const socket = await send(16 * LIMIT_BYTES);
        await new Promise(resolve => socket.once("close", resolve));
        assert.ok(accepted!.bytesRead < MAX_READ_BYTES, `${accepted!.bytesRead} bytes`);
    });
});

function nextTurn(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

describe("ConnectionIntake", () => {
    let listener: HttpListener;
    let underWay = 0;
    let mostUnderWay = 0;

    before(async () => {
        listener = await new NodeHttp().serve({ host: "127.0.0.1", port: 0 }, LIMITS, handle);
    });

    async function handle(req: HttpRequest, res: HttpResponse): Promise<void> {
        mostUnderWay = Math.max(mostUnderWay, ++underWay);
        const body = await req.body(LIMIT_BYTES);
        if (req.path !== "/last") await sleep(WORK_MS);
        const answer = Buffer.from(body.map(bytes => `${req.path} ${bytes.length};`).orDefault("none;"));
        underWay--;
        res.head(200, [["content-length", String(answer.length)]]);
        res.end(answer);
    }

    after(() => listener.close());

    async function open(): Promise<Socket> {
        const socket = connect({ port: listener.address.port, host: "127.0.0.1", noDelay: true });
        await once(socket, "connect");
        return socket;
    }

    async function readUntil(socket: Socket, pattern: RegExp): Promise<string> {
        let text = "";
        for await (const chunk of socket.iterator({ destroyOnReturn: false })) {
            text += chunk;
            if (pattern.test(text)) return text;
        }
        return text;
    }

    function formatChunked(path: string, sizes: readonly number[]): string {
        const chunks = sizes.map(size => `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`).join("");
        return `POST ${path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
    }

    function formatWithLength(path: string, bytes: number): string {
        return `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${bytes}\r\n\r\n${"x".repeat(bytes)}`;
    }

    it("lets other events in between the chunks of a body", TEST_TIMEOUT, async () => {
        // Failure: the event loop parses thousands of chunks of one connection before it reads any other request.
        const socket = await open();
        let turns = 0;
        let isServed = false;
        const countTurn = (): void => {
            turns++;
            if (!isServed) setImmediate(countTurn);
        };
        socket.write(formatChunked("/slow", new Array<number>(CHUNKS).fill(1)));
        countTurn();
        await readUntil(socket, /\/slow 100000;/);
        isServed = true;
        assert.ok(turns > CHUNKS / MAX_CHUNKS_PER_TURN, `${turns} turns`);
        socket.destroy();
    });

    it("hands over all requests whole, however they are framed and split", TEST_TIMEOUT, async () => {
        // Failure: bytes are lost, or handed over twice, where a read is handed over in parts.
        const framed = fc.oneof(
            fc.nat(5_000).map(bytes => ({ bytes, format: (path: string) => formatWithLength(path, bytes) })),
            fc.array(fc.integer({ min: 1, max: 400 }), { maxLength: 300 }).map(sizes => ({
                bytes: sizes.reduce((sum, size) => sum + size, 0),
                format: (path: string) => formatChunked(path, sizes),
            })),
        );
        const requests = fc.array(framed, { minLength: 1, maxLength: 12 });
        await fc.assert(
            fc.asyncProperty(requests, fc.integer({ min: 1, max: 20_000 }), async (sent, partLength) => {
                const socket = await open();
                const text = sent.map(({ format }, number) => format(`/${number}`)).join("");
                for (let at = 0; at < text.length; at += partLength) socket.write(text.slice(at, at + partLength));
                const answers = await readUntil(socket, new RegExp(`/${sent.length - 1} \\d+;`));
                const bodies = [...answers.matchAll(/\/\d+ \d+;/g)].map(([body]) => body);
                assert.deepEqual(bodies, sent.map(({ bytes }, number) => `/${number} ${bytes};`));
                socket.destroy();
            }),
            { numRuns: 40 },
        );
    });

    it("has a bounded number of a connection's requests under way, and serves all in order", TEST_TIMEOUT, async () => {
        // Failure: thousands of requests of one connection are under way at once, and the heap is used up.
        mostUnderWay = 0;
        const socket = await open();
        const paths = Array.from({ length: PIPELINED }, (_, number) => `/${number}`);
        socket.write(paths.map(path => formatWithLength(path, 10)).join(""));
        const answers = await readUntil(socket, new RegExp(`/${PIPELINED - 1} 10;`));
        assert.deepEqual([...answers.matchAll(/(\/\d+) 10;/g)].map(([, path]) => path), paths);
        assert.equal(mostUnderWay, MAX_UNDER_WAY);
        socket.destroy();
    });

    it("serves requests that wait when its server closes its connections", TEST_TIMEOUT, async () => {
        // Failure: a planned stop closes a connection on which requests have arrived, without an answer.
        const count = 2 * MAX_UNDER_WAY;
        let release = (): void => undefined;
        const released = new Promise<void>(resolve => release = resolve);
        const stopping = await new NodeHttp().serve({ host: "127.0.0.1", port: 0 }, LIMITS, async (req, res) => {
            await released;
            return handle(req, res);
        });
        const socket = connect(stopping.address.port, "127.0.0.1");
        socket.write(Array.from({ length: count }, (_, number) => formatWithLength(`/${number}`, 10)).join(""));
        const answers = readUntil(socket, /never/);
        while (stopping.countOpenAnswers().requests < MAX_UNDER_WAY) await nextTurn();
        const stopped = stopping.stopAccepting();
        release();
        await stopped;
        assert.equal([...(await answers).matchAll(/(\/\d+) 10;/g)].length, count);
    });

    it("still sees the end of a connection behind its last request", TEST_TIMEOUT, async () => {
        // Failure: a caller that sends its end right behind its request gets no answer, or its connection is never closed.
        const socket = await open();
        socket.end(formatChunked("/last", new Array<number>(1_000).fill(1)));
        assert.match(await readUntil(socket, /never/), /\/last 1000;$/);
    });
});
