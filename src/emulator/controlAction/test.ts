import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MemoryWorld } from "../_lib/memoryWorld.js";
import { Emulator } from "../emulator/index.js";
import { DEFAULT_EMULATOR_SETTINGS } from "../emulatorSettings/index.js";
import { applyAction } from "./index.js";

async function startEmulator() {
    const world = new MemoryWorld();
    const emulator = new Emulator(world.ports("emulator"), {
        ...DEFAULT_EMULATOR_SETTINGS,
        host: "emulator",
        engines: 2,
        services: 1,
        zones: ["sohar", "barka"],
        reclaimableZones: ["barka"],
    });
    await world.clock.runUntil(emulator.startAll(), 1_000);
    return { world, emulator };
}

describe("applyAction", () => {
    it("reclaims a zone's engines with notice, and no others", async () => {
        const { world, emulator } = await startEmulator();
        applyAction(emulator, world.keyWatch, { action: "reclaim-zone", zone: "barka", noticeMs: 3_000 });
        const states = (): string[] => emulator.stats().engines.map(engine => engine.state);
        assert.deepEqual(states(), ["ready", "leaving"]);
        await world.clock.advance(3_000);
        assert.deepEqual(states(), ["ready", "gone"]);
    });

    it("restarts a crashed engine as a new incarnation", async () => {
        const { world, emulator } = await startEmulator();
        const before = emulator.engines.get("draft-sohar-1")!.describe().incarnation;
        await world.clock.advance(10);
        applyAction(emulator, world.keyWatch, { action: "crash", upstream: "draft-sohar-1" });
        applyAction(emulator, world.keyWatch, { action: "restart", upstream: "draft-sohar-1" });
        await world.clock.advance(10);
        const { state, incarnation } = emulator.engines.get("draft-sohar-1")!.describe();
        assert.equal(state, "ready");
        assert.ok(incarnation > before);
    });

    it("returns an error for an unknown upstream, and for an action on the wrong kind", async () => {
        const { world, emulator } = await startEmulator();
        const unknownUpstream = applyAction(emulator, world.keyWatch, { action: "crash", upstream: "draft-muscat-9" });
        assert.match(String(unknownUpstream.extract()), /no-upstream/);
        const wrongKind = applyAction(emulator, world.keyWatch, { action: "freeze", upstream: "orders-sohar-1" });
        assert.match(String(wrongKind.extract()), /wrong-kind/);
    });
});
