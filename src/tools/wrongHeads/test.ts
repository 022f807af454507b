import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { WRONG_FIELDS } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";
import { CallAnswer, exchangeCall, formatRawAnswer, RawReply, RawRequest, RawUpstream } from "../index.js";
import { RoutedProcessFleet } from "../routedProcesses/index.js";

const HOST = "shop.example";
const POOL = "orders";
const KINDS = ["once", "idempotent", "stream"] as const;
const START_LIMIT_MS = 20_000;
const GIVE_UP_MS = 20_000;
const PAUSE_MS = 20;
const STATUS_BAD_GATEWAY = 502;
/** Makes the parser of HTTP as tolerant as that of older versions of Node.js. */
const TOLERANT_PARSER = ["--insecure-http-parser"];

describe("answers of upstreams with an invalid header field", () => {
    let fleet: RoutedProcessFleet;
    let upstream: RawUpstream;
    let wrongLine: string | undefined;
    let sentCount = 0;
    const agent = new Agent({ keepAlive: false });

    before(async () => {
        const flags = { entry: TOLERANT_PARSER, control: [] };
        fleet = await RoutedProcessFleet.start({ entries: 1, controls: 1, nodeFlags: flags }, []);
        const routes = KINDS.map(kind =>
            makeRoute({
                kind,
                name: kind,
                host: HOST,
                pathPrefix: `/${kind}/`,
                attempts: 1,
                keyless: true,
                targets: [{ pool: POOL, weight: 1 }],
            })
        );
        await fleet.applyDocument(makeDocument({ version: 1, routes, pools: [{ pool: POOL, connections: 100 }] }));
        const announceTo = fleet.processes.announcementAddresses;
        upstream = await RawUpstream.start({
            announceTo,
            reply,
            id: "upstream-0",
            pool: POOL,
            zone: "vogar",
            slots: 64,
        });
        await callUntilRun("once");
    });

    after(async () => {
        await upstream.close();
        await fleet.close();
    });

    function reply({ id }: RawRequest): RawReply {
        const fields = wrongLine === undefined ? [] : [wrongLine];
        return { runs: true, delayMs: 0, resets: false, closes: true, bytes: formatRawAnswer({ fields, ids: [id] }) };
    }

    /** Sends calls until the upstream has run one, and returns its answer: the upstream may be spared for a while after failures. */
    async function callUntilRun(kind: string): Promise<CallAnswer> {
        const giveUpAt = Date.now() + START_LIMIT_MS;
        while (Date.now() < giveUpAt) {
            const id = `call-${++sentCount}`;
            const [address] = fleet.processes.routeAddresses;
            const headers = { host: HOST, [CALL_HEADERS.request]: id };
            const sent = { agent, address, headers, path: `/${kind}/1`, body: "order", giveUpMs: GIVE_UP_MS };
            const answer = await exchangeCall(sent);
            if (answer && upstream.runs.some(run => run.id === id)) return answer;
            await sleep(PAUSE_MS);
        }
        throw new Error("the upstream gets no calls");
    }

    for (const kind of KINDS) {
        it(`reach no caller of a route of kind ${kind}, whatever the parser of Node.js accepts`, async () => {
            // Guards against callers that get a wrong line, a body that is not the upstream's, or a connection closed without an answer.
            const faults: string[] = [];
            for (const [name, line] of WRONG_FIELDS) {
                wrongLine = line;
                const { status, body } = await callUntilRun(kind);
                wrongLine = undefined;
                if (status !== STATUS_BAD_GATEWAY) {
                    faults.push(`${name}: ${status ?? "no answer"}, ${JSON.stringify(body)}`);
                }
            }
            assert.deepEqual(faults, []);
        });
    }
});
