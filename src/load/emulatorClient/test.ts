import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ControlApi, DEFAULT_EMULATOR_SETTINGS, Emulator, KeyWatch } from "../../emulator/index.js";
import { MemoryFabric, MemoryHttpFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { EmulatorClient, EmulatorError } from "./index.js";

const CONTROL = { host: "emulator", port: 7300 };
const LIMIT_MS = 1_000;

describe("EmulatorClient", () => {
    it("applies actions to the emulated upstreams, and fetches what ran", async () => {
        const clock = new VirtualClock();
        const httpFabric = new MemoryHttpFabric(new MemoryFabric(clock, () => 0));
        const keyWatch = new KeyWatch();
        const ports = { clock, random: new SeededRandom(1), http: httpFabric.http(CONTROL.host), keyWatch };
        const set = new Emulator(ports, { ...DEFAULT_EMULATOR_SETTINGS, host: CONTROL.host, engines: 2 });
        await clock.runUntil(set.startAll(), LIMIT_MS);
        await new ControlApi(ports.http, set, keyWatch).start(CONTROL);
        const client = new EmulatorClient(httpFabric.http("caller"), CONTROL);

        await clock.runUntil(client.apply({ action: "crash", upstream: "draft-keflavik-2" }), LIMIT_MS);
        assert.deepEqual(set.stats().engines.map(engine => engine.state), ["ready", "gone"]);
        assert.deepEqual(await clock.runUntil(client.fetchRuns(), LIMIT_MS), { calls: [], chats: [] });
        const unknown = client.apply({ action: "crash", upstream: "draft-muscat-9" });
        await assert.rejects(clock.runUntil(unknown, LIMIT_MS), EmulatorError);
    });
});
