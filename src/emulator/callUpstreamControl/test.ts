import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { DEFAULT_HTTP_LIMITS, MemoryFabric, MemoryHttpFabric, readReplyText, VirtualClock } from "../../ports/index.js";
import { EmulatedCallUpstream } from "../emulatedCallUpstream/index.js";
import { CALL_UPSTREAM_PATHS, serveCallUpstreamControl, UpstreamRuns, upstreamRunsSchema } from "./index.js";

const CALLS = { host: "10.0.9.1", port: 9_000 };
const CONTROL = { host: "10.0.9.1", port: 9_001 };
const LIMIT_MS = 60_000;

describe("the control API of an emulated upstream", () => {
    let clock: VirtualClock;
    let web: MemoryHttpFabric;

    beforeEach(async () => {
        clock = new VirtualClock();
        web = new MemoryHttpFabric(new MemoryFabric(clock, () => 1));
        const http = web.http(CALLS.host);
        const shape = { pool: "writer", zone: "vogar", slots: 4, workMs: 10, events: 3, gapMs: 10, eventPadding: 100 };
        const upstream = await EmulatedCallUpstream.start({ clock, http, id: "one", address: CALLS, ...shape });
        await http.serve(CONTROL, DEFAULT_HTTP_LIMITS, serveCallUpstreamControl(clock, upstream));
    });

    async function send(address: typeof CALLS, path: string, body: string): Promise<string> {
        const headers: [string, string][] = [[CALL_HEADERS.request, "a"], [CALL_HEADERS.upstream, "one"]];
        const call = { address, path, headers, body: Buffer.from(body), method: "POST", newConnection: true };
        const sent = await clock.runUntil(
            web.http("10.0.1.1").send({ ...call, connectTimeoutMs: LIMIT_MS, headTimeoutMs: LIMIT_MS }),
            LIMIT_MS,
        );
        return clock.runUntil(readReplyText(sent.unsafeCoerce()), LIMIT_MS);
    }

    async function listRuns(): Promise<UpstreamRuns> {
        return upstreamRunsSchema.parse(JSON.parse(await send(CONTROL, CALL_UPSTREAM_PATHS.runs, "")));
    }

    it("lists the runs with their ends", async () => {
        await send(CALLS, "/drafts/1", "[events=2]");
        const [run, ...more] = await listRuns();
        assert.deepEqual([run.request, run.path, run.isWhole, more.length], ["a", "/drafts/1", true, 0]);
        assert.equal(run.endedAt! - run.at, 30);
    });

    it("gives an answer as many events as its call asks for, longer by the padding", async () => {
        const text = await send(CALLS, "/drafts/1", "[events=2]");
        assert.deepEqual([...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id), ["1", "2"]);
        assert.ok(text.length > 200);
    });

    it("suspends answers for the time of a silence", async () => {
        await send(CONTROL, CALL_UPSTREAM_PATHS.silence, JSON.stringify({ ms: 5_000 }));
        await send(CALLS, "/drafts/1", "[events=2]");
        const [run] = await listRuns();
        assert.ok(run.endedAt! - run.at > 4_900);
    });
});
