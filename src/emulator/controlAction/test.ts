import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MemoryWorld } from "../_lib/memoryWorld.js";
import { DEFAULT_EMULATOR_SETTINGS } from "../emulatorSettings/index.js";
import { StandInSet } from "../standInSet/index.js";
import { applyAction } from "./index.js";

async function startSet() {
    const world = new MemoryWorld();
    const set = new StandInSet(world.ports("emulator"), {
        ...DEFAULT_EMULATOR_SETTINGS,
        host: "emulator",
        engines: 2,
        services: 1,
        zones: ["sohar", "barka"],
        reclaimableZones: ["barka"],
    });
    await world.clock.runUntil(set.startAll(), 1_000);
    return { world, set };
}

describe("applyAction", () => {
    it("reclaims a zone's engines with notice, and no others", async () => {
        const { world, set } = await startSet();
        applyAction(set, world.keyWatch, { action: "reclaim-zone", zone: "barka", noticeMs: 3_000 });
        const states = (): string[] => set.stats().engines.map(engine => engine.state);
        assert.deepEqual(states(), ["ready", "leaving"]);
        await world.clock.advance(3_000);
        assert.deepEqual(states(), ["ready", "gone"]);
    });

    it("starts a crashed engine again as a new incarnation", async () => {
        const { world, set } = await startSet();
        const before = set.engines.get("draft-sohar-1")!.describe().incarnation;
        await world.clock.advance(10);
        applyAction(set, world.keyWatch, { action: "crash", upstream: "draft-sohar-1" });
        applyAction(set, world.keyWatch, { action: "restart", upstream: "draft-sohar-1" });
        await world.clock.advance(10);
        const { state, incarnation } = set.engines.get("draft-sohar-1")!.describe();
        assert.equal(state, "ready");
        assert.ok(incarnation > before);
    });

    it("says what can't be done", async () => {
        const { world, set } = await startSet();
        const unknown = applyAction(set, world.keyWatch, { action: "crash", upstream: "draft-muscat-9" });
        assert.match(String(unknown.extract()), /no-upstream/);
        const wrong = applyAction(set, world.keyWatch, { action: "freeze", upstream: "orders-sohar-1" });
        assert.match(String(wrong.extract()), /wrong-kind/);
    });
});
