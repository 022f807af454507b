import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ControlAction } from "../../emulator/index.js";
import { MemoryFabric, MemoryHttpFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { DEFAULT_CALLER } from "../caller/index.js";
import { generateTrace } from "../generateTrace/index.js";
import { UTILITY_MORNING, UTILITY_RECLAIM } from "../utilityPlan/index.js";
import { ReplayConfig, ReplayError, replayTrace } from "./index.js";

const TRACE = generateTrace(UTILITY_MORNING, new SeededRandom(1));
const ADDRESS = { host: "entry", port: 1 };
const KEYS = new Map(TRACE.header.workspaces.map(({ name }) => [name, `key of ${name}`]));
const CONFIG: ReplayConfig = { ...DEFAULT_CALLER, addresses: [ADDRESS], keys: KEYS, speed: 2 };

async function startRefusingEntry() {
    const clock = new VirtualClock();
    const httpFabric = new MemoryHttpFabric(new MemoryFabric(clock, () => 0));
    const times: number[] = [];
    const keys = new Set<string>();
    await httpFabric.http("entry").serve(ADDRESS, undefined as never, async (req, res) => {
        times.push(clock.monotonic());
        keys.add(req.headers.find(([name]) => name === "authorization")![1]);
        res.head(503, []);
        res.end(JSON.stringify({ error: { type: "shed", message: "", outcome: "not-run" } }));
    });
    const ports = { clock, random: new SeededRandom(1), http: httpFabric.http("caller") };
    return { clock, times, keys, ports };
}

describe("replayTrace", () => {
    it("sends each request at its time divided by the speed, with its workspace's key, and returns all results in order", async () => {
        const { clock, times, keys, ports } = await startRefusingEntry();
        const results = await clock.runUntil(replayTrace(ports, TRACE, CONFIG), 60_000);
        assert.deepEqual(times, TRACE.requests.map(request => request.at_ms / 2));
        assert.equal(keys.size, KEYS.size);
        assert.deepEqual(results.map(result => result.className), TRACE.requests.map(request => request.class));
        assert.ok(results.every(({ verdict, reason }) => verdict === "refused" && reason === "shed"));
    });

    it("injects each fault at its time divided by the speed", async () => {
        const { clock, ports } = await startRefusingEntry();
        const trace = generateTrace(UTILITY_RECLAIM, new SeededRandom(1));
        const applied: string[] = [];
        const applyFault = async ({ action }: ControlAction): Promise<void> => {
            applied.push(`${action} at ${clock.monotonic()}`);
        };
        await clock.runUntil(replayTrace(ports, trace, { ...CONFIG, applyFault }), 60_000);
        assert.deepEqual(applied, ["reclaim-zone at 1000", "crash at 2250", "restart at 3250"]);
        await assert.rejects(replayTrace(ports, trace, CONFIG), ReplayError);
    });

    it("names the workspace that has no key", async () => {
        const { ports } = await startRefusingEntry();
        const replay = replayTrace(ports, TRACE, { ...CONFIG, keys: new Map() });
        await assert.rejects(replay, (err: Error) => err instanceof ReplayError && /ordering-desk/.test(err.message));
    });
});
