import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { readReplyText } from "../http/index.js";
import { makeWrongAnswers, WRONG_PATH, WrongServer } from "../index.js";
import { SeededRandom } from "../seededRandom/index.js";
import { CORRECT_DEADLINE_MS, fetchText, findFaults, HANG_MS, waitUntil, WRONG_DEADLINE_MS } from "./fixtures/index.js";
import { NodeHttpClient } from "./index.js";

const SEED = 1;
const SAMPLE_SIZE = 80;
/** One more than the longest delay that the timers of Node.js support, in milliseconds. */
const OVERFLOWING_MS = 2 ** 31;
/** Requests that are sent while the event loop stalls, the time for which it does so, and their connect timeout, in milliseconds. */
const STALLED_REQUESTS = 300;
const MAX_STALL_MS = 300;
const STALLED_CONNECT_MS = 20;

/** Accepts and answers requests on a thread of its own, and posts the paths of those that have arrived when it is asked. */
const RECORDING_SERVER = `
    const { parentPort } = require("node:worker_threads");
    const arrived = new Set();
    const server = require("node:net").createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            for (const [, path] of chunk.toString().matchAll(/POST \\/(\\S+)/g)) arrived.add(path);
            socket.write("HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n");
        });
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
    parentPort.on("message", () => parentPort.postMessage([...arrived]));
`;

/** Blocks the event loop. */
function stall(ms: number): void {
    const until = performance.now() + ms;
    while (performance.now() < until);
}

describe("NodeHttpClient", () => {
    it("waits for an answer whose time limit exceeds 31 bits", async () => {
        // Failure: calls of a route with a time limit of a month end at once, though their upstream answers.
        const server = createServer((_, res) => void setTimeout(() => res.end("late"), 50));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        try {
            const { port } = server.address() as AddressInfo;
            const sent = await new NodeHttpClient().send({
                address: { host: "127.0.0.1", port },
                method: "GET",
                path: "/",
                headers: [],
                newConnection: true,
                connectTimeoutMs: OVERFLOWING_MS,
                headTimeoutMs: OVERFLOWING_MS,
            });
            assert.equal(await readReplyText(sent.unsafeCoerce()), "late");
        }
        finally {
            server.close();
        }
    });

    const switches = [
        [
            "a header names the protocol",
            "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
        ],
        ["none does", "HTTP/1.1 101 Switching Protocols\r\n\r\n"],
    ] as const;
    for (const [name, bytes] of switches) {
        it(`takes a change of protocol that was not requested for a malformed answer, where ${name}`, async () => {
            // Failure: the request never ends, or its caller gets status 101 as the final answer.
            const answer = { name, bytes, ending: "kept", isCorrect: false, hasRest: false } as const;
            const server = await WrongServer.start(answer);
            try {
                const fetched = fetchText(new NodeHttpClient(), server.address, WRONG_PATH, CORRECT_DEADLINE_MS);
                const hang = sleep(CORRECT_DEADLINE_MS + HANG_MS, "hangs", { ref: false });
                assert.equal(await Promise.race([fetched, hang]), "failed: malformed");
                assert.ok(await waitUntil(() => server.openCount === 0));
            }
            finally {
                await server.close();
            }
        });
    }

    for (const header of ["Content-Length: 5", "Transfer-Encoding: chunked"]) {
        it(`ends an answer with status 204 at its head, though that has ${header}`, async () => {
            // Failure: a call waits until its deadline for a body that its status excludes, and the next answer's bytes are taken for it.
            const bytes = `HTTP/1.1 204 No Content\r\n${header}\r\n\r\n`;
            const answer = { name: header, bytes, ending: "silent", isCorrect: true, hasRest: true } as const;
            const server = await WrongServer.start(answer);
            try {
                const fetched = fetchText(new NodeHttpClient(), server.address, WRONG_PATH, CORRECT_DEADLINE_MS);
                assert.equal(await fetched, "whole: ");
                assert.ok(await waitUntil(() => server.openCount === 0));
            }
            finally {
                await server.close();
            }
        });
    }

    describe("a request that can't be sent", () => {
        const unsendable: readonly (readonly [string, object])[] = [
            ["a letter beyond Latin-1 in a header", { headers: [["x-name", "Hu\u1ebf"]] }],
            ["a line break in a header", { headers: [["x-name", "a\r\nx: 1"]] }],
            ["a header without a name", { headers: [["", "a"]] }],
            ["a blank in its path", { path: "/a b" }],
            ["a blank in its method", { method: "GE T" }],
        ];
        for (const [name, part] of unsendable) {
            it(`is an error of which nothing was sent: ${name}`, async () => {
                // Failure: the client throws, and whatever its caller holds for the request is never given back.
                const sent = await new NodeHttpClient().send({
                    address: { host: "127.0.0.1", port: 9 },
                    method: "GET",
                    path: "/",
                    headers: [],
                    newConnection: true,
                    connectTimeoutMs: 1_000,
                    headTimeoutMs: 1_000,
                    ...part,
                });
                const err = sent.swap().unsafeCoerce();
                assert.deepEqual([err.reason, err.mayHaveBeenSent], ["malformed", false]);
            });
        }
    });

    it("ends each wrong or endless answer by its deadline, and uses its connection for nothing else", async () => {
        // Guards against requests that hang, connections that stay open, and bytes that reach another request.
        const answers = makeWrongAnswers(SEED, SAMPLE_SIZE);
        assert.ok(answers.length > 200, `${answers.length} answers`);
        assert.deepEqual(await findFaults(answers), []);
    });

    it("rejects the same wrong answers where the parser of Node.js is tolerant", async () => {
        // Guards against answers with headers or a body that are not the upstream's, on versions of Node.js with a tolerant parser.
        const worker = new Worker(new URL("./fixtures/worker.js", import.meta.url), {
            execArgv: ["--insecure-http-parser"],
            workerData: { seed: SEED, sampleSize: SAMPLE_SIZE },
        });
        const [faults] = await once(worker, "message") as [string[]];
        assert.deepEqual(faults, []);
    });

    it("counts no request as not sent that its server has got, however the event loop stalls", async () => {
        // Guards against a call that is sent again though it runs: its connection may open while nothing looks.
        const worker = new Worker(RECORDING_SERVER, { eval: true });
        const [port] = await once(worker, "message") as [number];
        const random = new SeededRandom(SEED);
        const client = new NodeHttpClient();
        const unsent: string[] = [];
        const send = async (id: string, newConnection: boolean, abortAfterMs: number | undefined): Promise<void> => {
            const abort = new AbortController();
            if (abortAfterMs !== undefined) setTimeout(() => abort.abort(), abortAfterMs);
            const sent = await client.send({
                id,
                newConnection,
                address: { host: "127.0.0.1", port },
                method: "POST",
                path: `/${id}`,
                headers: [],
                recentlyUsedOnly: true,
                connectTimeoutMs: STALLED_CONNECT_MS,
                headTimeoutMs: WRONG_DEADLINE_MS,
                signal: abort.signal,
            });
            sent.ifLeft(({ mayHaveBeenSent }) => !mayHaveBeenSent && unsent.push(id));
            if (sent.isRight()) await readReplyText(sent.unsafeCoerce()).catch(() => undefined);
        };
        const work: Promise<void>[] = [];
        for (let number = 0; number < STALLED_REQUESTS; number++) {
            const abortAfterMs = random.next() < 0.2 ? random.between(0, STALLED_CONNECT_MS) : undefined;
            work.push(send(`request-${number}`, random.next() < 0.4, abortAfterMs));
            if (random.next() < 0.1) stall(random.between(0, MAX_STALL_MS));
            else await sleep(random.between(0, 3));
        }
        await Promise.all(work);
        worker.postMessage("list");
        const [arrived] = await once(worker, "message") as [string[]];
        await worker.terminate();
        assert.ok(arrived.length > STALLED_REQUESTS / 2, `${arrived.length} arrived`);
        assert.deepEqual(unsent.filter(id => arrived.includes(id)), []);
    });
});
