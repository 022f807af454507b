import assert from "node:assert/strict";
import { once } from "node:events";
import { AddressInfo, createServer, Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { Worker } from "node:worker_threads";
import { Address, DEFAULT_HTTP_LIMITS, HttpCall, HttpError, Listener, readReplyText } from "../index.js";
import { NodeHttp } from "./index.js";

const http = new NodeHttp();
const LIMIT_BYTES = 1_000;

const IDLE_TIMEOUT_MS = 2_000;

/** Sends a request from a thread of its own, and a second one on the same connection after the idle timeout. */
const SEND_TWO_REQUESTS = `
    const { parentPort, workerData: { port, sent, pauseMs } } = require("node:worker_threads");
    const request = "GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n";
    let received = "";
    const socket = require("node:net").connect(port, "127.0.0.1", () => socket.write(request));
    socket.once("data", () => setTimeout(() => socket.write(request, () => {
        Atomics.store(sent, 0, 1);
        Atomics.notify(sent, 0);
    }), pauseMs));
    socket.on("data", chunk => received += chunk);
    socket.on("error", () => undefined);
    socket.on("close", () => parentPort.postMessage(received.split("HTTP/1.1 200 OK").length - 1));
`;

/** Sends a request from a thread of its own, tells when the operating system has it, and posts what comes back. */
const SEND_REQUEST = `
    const { parentPort, workerData: { port, sent } } = require("node:worker_threads");
    let received = "";
    const socket = require("node:net").connect(port, "127.0.0.1", () => {
        socket.write("GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n", () => {
            Atomics.store(sent, 0, 1);
            Atomics.notify(sent, 0);
        });
    });
    socket.on("data", chunk => received += chunk);
    socket.on("error", () => undefined);
    socket.on("close", () => parentPort.postMessage(received.split("\\r\\n")[0]));
`;

function callTo(address: Address, path: string, body?: string): HttpCall {
    return {
        address,
        method: "POST",
        path,
        headers: [],
        body: body === undefined ? undefined : Buffer.from(body),
        newConnection: true,
        connectTimeoutMs: 5_000,
        headTimeoutMs: 5_000,
    };
}

describe("NodeHttp", () => {
    let listener: Listener;

    before(async () => {
        listener = await http.serve({ host: "127.0.0.1", port: 0 }, DEFAULT_HTTP_LIMITS, async (req, res) => {
            const body = await req.body(LIMIT_BYTES);
            res.head(body.isRight() ? 200 : 413, []);
            await res.write(Buffer.from(body.orDefault(Buffer.from("refused"))));
            if (req.path === "/cut") res.reset();
            else res.end();
        });
    });

    after(() => listener.close());

    describe("send", () => {
        it("sends the whole body when no length is given", async () => {
            // Node adds no content length to headers given as a list, and then sends no body. Engines refused the empty
            // request with 400, so that each chat failed with "4 upstreams failed", with real processes only.
            const reply = (await http.send(callTo(listener.address, "/", "a body"))).unsafeCoerce();
            const parts: Uint8Array[] = [];
            for await (const part of reply.body) parts.push(part);
            assert.equal(Buffer.concat(parts).toString(), "a body");
        });

        it("reports that nothing was sent when the connection is refused", async () => {
            const closed = await http.serve({ host: "127.0.0.1", port: 0 }, DEFAULT_HTTP_LIMITS, async () => undefined);
            await closed.close();
            const err = (await http.send(callTo(closed.address, "/"))).swap().unsafeCoerce();
            assert.deepEqual({ reason: err.reason, mayHaveLeft: err.mayHaveBeenSent }, {
                reason: "refused",
                mayHaveLeft: false,
            });
        });

        it("throws an error for a body that was cut off", async () => {
            const reply = (await http.send(callTo(listener.address, "/cut", "a body"))).unsafeCoerce();
            await assert.rejects(async () => {
                for await (const part of reply.body) assert.ok(part.length > 0);
            }, HttpError);
        });
    });

    describe("serve", () => {
        it("refuses a body over the limit", async () => {
            const reply = (await http.send(callTo(listener.address, "/", "x".repeat(LIMIT_BYTES + 1)))).unsafeCoerce();
            assert.equal(reply.status, 413);
            reply.reset();
        });

        it("answers a request that arrived while the event loop stood still before the stop", async () => {
            // Failure: after a stall, a stop closes connections whose requests were sent seconds ago and not read yet.
            const server = await http.serve({ host: "127.0.0.1", port: 0 }, DEFAULT_HTTP_LIMITS, async (_, res) => {
                res.head(503, [["content-length", "0"]]);
                res.end();
            });
            const sent = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
            const workerData = { port: server.address.port, sent };
            const worker = new Worker(SEND_REQUEST, { eval: true, workerData });
            const received = once(worker, "message");
            Atomics.wait(sent, 0, 0);
            await server.stopAccepting();
            assert.deepEqual(await received, ["HTTP/1.1 503 Service Unavailable"]);
        });

        it("answers a request that arrived while the event loop stood still beyond the idle timeout", async () => {
            // Failure: after a stall, connections are closed as idle under requests that were sent long ago.
            const sent = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
            const limits = { ...DEFAULT_HTTP_LIMITS, idleTimeoutMs: IDLE_TIMEOUT_MS };
            let count = 0;
            const server = await http.serve({ host: "127.0.0.1", port: 0 }, limits, async (_, res) => {
                const isLast = ++count === 2;
                res.head(200, [["content-length", "0"], ...(isLast ? [["connection", "close"] as const] : [])]);
                res.end();
                // Timers are the next phase after that of immediates.
                if (!isLast) setTimeout(() => setImmediate(() => Atomics.wait(sent, 0, 0)), 50);
            });
            const workerData = { port: server.address.port, sent, pauseMs: 2 * IDLE_TIMEOUT_MS + 500 };
            const worker = new Worker(SEND_TWO_REQUESTS, { eval: true, workerData });
            assert.deepEqual(await once(worker, "message"), [2]);
            await server.close();
        });

        it("counts an answer as open until its caller has read enough of it", async () => {
            const size = 64 * 1024 * 1024;
            const server = await http.serve({ host: "127.0.0.1", port: 0 }, DEFAULT_HTTP_LIMITS, async (_, res) => {
                res.head(200, []);
                res.end(Buffer.alloc(size));
            });
            const reply = (await http.send(callTo(server.address, "/"))).unsafeCoerce();
            const { requests, unsentBytes } = server.countOpenAnswers();
            assert.equal(requests, 1);
            assert.ok(unsentBytes > 0 && unsentBytes <= size + 1_000, `${unsentBytes} bytes`);
            await readReplyText(reply);
            await server.close();
            assert.deepEqual(server.countOpenAnswers(), { requests: 0, unsentBytes: 0 });
        });
    });
});

describe("NodeHttp's responses without a length", () => {
    /** Reads the response of a server that writes a part of a body and then ends its connection by `end`. */
    async function readFrom(end: (socket: Socket) => void, pauseMs = 20, headers = ""): Promise<string> {
        const server = createServer(socket => {
            socket.once("data", () => {
                socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\npart`);
                if (pauseMs > 0) setTimeout(() => end(socket), pauseMs);
                else end(socket);
            });
            socket.on("error", () => undefined);
        });
        await new Promise<void>(done => server.listen(0, "127.0.0.1", done));
        const { port } = server.address() as AddressInfo;
        const sent = await new NodeHttp().send({
            address: { host: "127.0.0.1", port },
            method: "GET",
            path: "/",
            headers: [],
            newConnection: false,
            connectTimeoutMs: 1_000,
            headTimeoutMs: 1_000,
        });
        let text = "";
        try {
            for await (const chunk of sent.unsafeCoerce().body) text += Buffer.from(chunk).toString();
            return `whole: ${text}`;
        }
        catch (err) {
            return `cut: ${(err as HttpError).reason}`;
        }
        finally {
            server.close();
        }
    }

    it("are complete when their connection is closed", async () => {
        assert.equal(await readFrom(socket => socket.end()), "whole: part");
    });

    it("are cut off when the reset comes right behind the last bytes", async () => {
        // As below, but the bytes and the reset are read in one step, which looks like a normal close.
        assert.equal(await readFrom(socket => socket.resetAndDestroy(), 0), "cut: closed");
    });

    it("are cut off when their connection is reset", async () => {
        // A caller would take a truncated response as complete: without a length, the response ends with its connection, which
        // is reset when the upstream crashes in the middle.
        assert.equal(await readFrom(socket => socket.resetAndDestroy()), "cut: closed");
    });

    const endings = [
        ["closed", (socket: Socket) => void socket.end()],
        ["reset", (socket: Socket) => void socket.resetAndDestroy()],
    ] as const;
    for (const [name, end] of endings) {
        it(`are malformed with an unsupported transfer coding, where their connection is ${name}`, async () => {
            // Failure: bytes in a coding that nobody decodes count as a body, or a truncated response as complete.
            assert.equal(await readFrom(end, 0, "Transfer-Encoding: gzip\r\n"), "cut: malformed");
        });
    }
});

describe("NodeHttp's responses to an upload that is still being written", () => {
    const ANSWER = "HTTP/1.1 200 OK\r\n\r\npart";
    /** More than the operating system takes for a peer that does not read. */
    const UPLOAD_BYTES = 64 * 1024 * 1024;

    /** Sends an upload to a server that answers without a length as soon as it has read the first bytes. */
    async function upload(answer: (socket: Socket) => void): Promise<string> {
        const sockets: Socket[] = [];
        const server = createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.pause();
                answer(socket);
            });
        });
        await new Promise<void>(done => server.listen(0, "127.0.0.1", done));
        const { port } = server.address() as AddressInfo;
        const sent = await new NodeHttp().send({
            address: { host: "127.0.0.1", port },
            method: "POST",
            path: "/",
            headers: [],
            body: Buffer.alloc(UPLOAD_BYTES),
            newConnection: false,
            connectTimeoutMs: 1_000,
            headTimeoutMs: 10_000,
        });
        if (sent.isLeft()) return "no answer";
        try {
            return `whole: ${await readReplyText(sent.unsafeCoerce())}`;
        }
        catch (err) {
            return `cut: ${(err as HttpError).reason}`;
        }
        finally {
            for (const socket of sockets) socket.destroy();
            server.close();
        }
    }

    for (const pauseMs of [0, 1, 10, 80, 300]) {
        it(`are not complete where the connection is reset ${pauseMs} ms later`, async () => {
            // Failure: the caller gets the first part of an answer as a whole one.
            const end = (socket: Socket): void => void setTimeout(() => socket.resetAndDestroy(), pauseMs);
            const result = await upload(socket => socket.write(ANSWER, () => end(socket)));
            assert.ok(["no answer", "cut: closed"].includes(result), result);
        });

        it(`are not complete where the server ends its side, and resets the connection ${pauseMs} ms later`, async () => {
            // Failure: an end of the server's side counts as the end of its answer, though it never takes the rest of the request.
            const end = (socket: Socket): void => void setTimeout(() => socket.resetAndDestroy(), pauseMs);
            const result = await upload(socket => socket.end(ANSWER, () => end(socket)));
            assert.ok(["no answer", "cut: closed"].includes(result), result);
        });
    }

    it("are not complete where the server closes the connection with bytes unread", async () => {
        const result = await upload(socket => socket.end(ANSWER, () => socket.destroy()));
        assert.ok(["no answer", "cut: closed"].includes(result), result);
    });
});
