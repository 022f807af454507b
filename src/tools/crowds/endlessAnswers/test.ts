import assert from "node:assert/strict";
import { Agent, request as sendHttp } from "node:http";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { CALL_HEADERS } from "../../../passthrough/index.js";
import { exchangeCall } from "../../exchangeCall/index.js";
import { waitFor } from "../../processes/index.js";
import { formatRawAnswer } from "../../rawAnswer/index.js";
import { RawReply, RawRequest, RawUpstream } from "../../rawUpstream/index.js";
import { RoutedProcessFleet } from "../../routedProcesses/index.js";
import { readPeakMemoryMb } from "../processUsage/index.js";

const HOST = "orders.example";
const POOL = "garbage";
const ROUTES = { plain: "idempotent", stream: "stream" } as const;
/** The memory of the smallest hosts, in MB, as in the other tests of crowds. */
const MEMORY_MB = { entry: 178, control: 346 } as const;
const HEAP_MB = { entry: 96, control: 160 } as const;
const CALLS = 100;
const TIMEOUT_MS = 1_500;
const GIVE_UP_MS = 20_000;
const START_LIMIT_MS = 20_000;
/** Ends a test that hangs. */
const TEST_LIMIT = { timeout: 120_000 };
const LONG = "x".repeat(16 * 1_024);

/** Below the maximum size of an event. */
const PART_OF_EVENT = "x".repeat(1_000_000);

/** Bytes that an upstream sends in place of an answer, without an end. */
interface EndlessAnswer {
    readonly name: string;
    readonly route: keyof typeof ROUTES;
    readonly begin: (id: string) => string;
    /** Undefined: nothing follows until the connection ends. */
    readonly endless?: string;
}

function makeHead(id: string, ...headers: string[]): string {
    const named = [`${CALL_HEADERS.request}: ${id}`, `${CALL_HEADERS.signature}: raw`];
    return ["HTTP/1.1 200 OK", ...named, ...headers, "\r\n"].join("\r\n");
}

function makeStreamHead(id: string): string {
    return makeHead(id, "content-type: text/event-stream", "transfer-encoding: chunked");
}

function makeChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const ANSWERS: readonly EndlessAnswer[] = [
    { name: "bytes that are no answer", route: "plain", begin: () => "", endless: LONG },
    { name: "a header", route: "plain", begin: () => "HTTP/1.1 200 OK\r\nx-a: ", endless: LONG },
    {
        name: "informational answers",
        route: "plain",
        begin: () => "",
        endless: "HTTP/1.1 102 Processing\r\n\r\n".repeat(500),
    },
    { name: "a body without a length", route: "plain", begin: id => makeHead(id), endless: LONG },
    {
        name: "a body of a huge length",
        route: "plain",
        begin: id => makeHead(id, `content-length: ${2 ** 52}`),
        endless: LONG,
    },
    {
        name: "a chunk extension",
        route: "plain",
        begin: id => `${makeHead(id, "transfer-encoding: chunked")}5;a=`,
        endless: LONG,
    },
    {
        name: "a failure's body",
        route: "plain",
        begin: id => makeHead(id).replace("200 OK", "500 Odd"),
        endless: LONG,
    },
    { name: "an event", route: "stream", begin: id => makeStreamHead(id), endless: makeChunk(`data: ${LONG}\n`) },
    {
        name: "a line of an event",
        route: "stream",
        begin: id => `${makeStreamHead(id)}${makeChunk("data: ")}`,
        endless: makeChunk(LONG),
    },
    { name: "comments", route: "stream", begin: id => makeStreamHead(id), endless: makeChunk(`: ${LONG}\n`) },
    {
        name: "a large part of an event",
        route: "stream",
        begin: id => makeStreamHead(id) + makeChunk(`data: ${PART_OF_EVENT}`),
    },
    {
        name: "many comments before an event",
        route: "stream",
        begin: id => makeStreamHead(id) + makeChunk(`: ${PART_OF_EVENT}\n`),
    },
    {
        name: "comments behind an event",
        route: "stream",
        begin: id => makeStreamHead(id) + makeChunk("id: 1\ndata: x\n\n"),
        endless: makeChunk(`: ${LONG}\n`),
    },
];

describe("answers without an end", () => {
    let fleet: RoutedProcessFleet;
    let upstream: RawUpstream;
    let answer: EndlessAnswer | undefined;
    let sentCount = 0;
    const agent = new Agent({ keepAlive: false });

    beforeEach(async () => {
        const limits = {
            entry: { memory_mb: String(MEMORY_MB.entry) },
            control: { memory_mb: String(MEMORY_MB.control) },
        };
        fleet = await RoutedProcessFleet.start({ entries: 1, controls: 1, limits, heapMb: HEAP_MB }, []);
        await fleet.applyDocument(makeDocument());
        upstream = await RawUpstream.start({
            id: "upstream-0",
            pool: POOL,
            zone: "vogar",
            slots: 2 * CALLS,
            announceTo: fleet.processes.announcementAddresses,
            reply,
        });
        const isServed = await waitFor(async () => await call("plain") === 200 || undefined, START_LIMIT_MS);
        assert.ok(isServed, "no call is served");
    });

    afterEach(async () => {
        await upstream.close();
        await fleet.close();
    });

    function reply({ id }: RawRequest): RawReply {
        const behaves = { runs: true, delayMs: 0, resets: false };
        if (!answer || !id.startsWith("odd")) return { ...behaves, bytes: formatRawAnswer({ ids: [id] }) };
        return { ...behaves, bytes: answer.begin(id), endless: answer.endless };
    }

    function makeDocument(): object {
        return {
            version: 1,
            routes: Object.entries(ROUTES).map(([name, kind]) => ({
                name,
                kind,
                host: HOST,
                pathPrefix: `/${name}/`,
                attempts: 1,
                timeoutMs: TIMEOUT_MS,
                targetMs: 300,
                tier: 1,
                resumable: false,
                keyless: true,
                targets: [{ pool: POOL, weight: 1 }],
            })),
            pools: [{ pool: POOL, connections: 1_000 }],
            limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 },
        };
    }

    function makeRequest(name: string, route: string) {
        const request = `${name}-${++sentCount}`;
        const headers = { host: HOST, [CALL_HEADERS.request]: request };
        return { headers, address: fleet.processes.routeAddresses[0], path: `/${route}/1` };
    }

    async function call(route: string): Promise<number | undefined> {
        const answered = await exchangeCall({ agent, ...makeRequest("plain", route), body: "", giveUpMs: GIVE_UP_MS });
        return answered?.status;
    }

    /** Sends a call and drops what it gets; a caller that does not read leaves it where it is. Settles with the end of the connection. */
    async function sendOdd(route: string, reads: boolean): Promise<void> {
        const { address: { host, port }, path, headers } = makeRequest("odd", route);
        await new Promise<void>(resolve => {
            const req = sendHttp(
                { host, port, path, headers, agent, method: "POST" },
                res => reads ? res.resume() : res.pause(),
            );
            const limit = setTimeout(() => req.destroy(), GIVE_UP_MS);
            if (!reads) setTimeout(() => req.destroy(), 2 * TIMEOUT_MS);
            req.on("error", () => undefined);
            req.on("close", () => {
                clearTimeout(limit);
                resolve();
            });
            req.end();
        });
    }

    for (const each of ANSWERS) {
        for (const reads of [true, false]) {
            it(`of ${each.name} end, to callers that ${reads ? "read" : "do not read"}`, TEST_LIMIT, async () => {
                // Failure: the host keeps the bytes of a faulty upstream, runs out of memory, and all its requests end.
                const [entry] = fleet.processes.entries;
                answer = each;
                await Promise.all(Array.from({ length: CALLS }, () => sendOdd(each.route, reads)));
                answer = undefined;
                await sleep(TIMEOUT_MS);
                assert.ok(entry.isRunning, entry.stderr.slice(-1_000));
                const peakMb = readPeakMemoryMb(entry.pid);
                assert.ok(peakMb <= MEMORY_MB.entry, `${Math.round(peakMb)} MB of ${MEMORY_MB.entry}`);
                assert.equal(await waitFor(async () => await call("plain") === 200 || undefined, START_LIMIT_MS), true);
            });
        }
    }
});
