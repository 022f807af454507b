import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { endAnnouncement, readHeartbeat } from "./index.js";

const BEAT = {
    service: "llm",
    address: "10.128.0.9:8080",
    zone: "vogar",
    version: "v1",
    slots: 128,
    state: "ready",
    coldRemainingMs: 0,
    stage: "both",
    models: [{ name: "m", version: 1, adapters: [] }],
    sequence: 4,
    born: 1_764_000_000_000,
};

function read(beat: unknown) {
    return readHeartbeat("i-1", Buffer.from(JSON.stringify(beat)));
}

describe("readHeartbeat", () => {
    it("turns a heartbeat into an announcement", () => {
        const announcement = read(BEAT).unsafeCoerce();
        assert.deepEqual(
            [announcement.id, announcement.incarnation, announcement.sequence, announcement.state, announcement.pools],
            ["i-1", BEAT.born, 4, "ready", ["llm"]],
        );
    });

    it("knows that an engine leaves, and when it is taken back", () => {
        const announcement = read({ ...BEAT, state: "draining", spot: true, leaves_ms: 2500 }).unsafeCoerce();
        assert.deepEqual([announcement.state, announcement.reclaimable, announcement.reclaim_in_ms], [
            "leaving",
            true,
            2500,
        ]);
    });

    it("knows how long an engine stays cold", () => {
        assert.equal(read({ ...BEAT, coldRemainingMs: 2_750 }).unsafeCoerce().cold_ms, 2_750);
        assert.equal(read(BEAT).unsafeCoerce().cold_ms, undefined);
        assert.ok(read({ ...BEAT, coldRemainingMs: "soon" }).isLeft());
    });

    it("names no engine where fields are missing or of another type", () => {
        for (
            const part of [{ service: 1 }, { state: "resting" }, { address: "nowhere" }, { slots: "4" }, { born: 1.5 }]
        ) {
            assert.ok(read({ ...BEAT, ...part }).isLeft(), JSON.stringify(part));
        }
        assert.ok(readHeartbeat("i-1", Buffer.from("{")).isLeft());
    });

    it("ends an engine's run whatever heartbeats are still under way", () => {
        const known = read(BEAT).unsafeCoerce();
        assert.deepEqual([endAnnouncement(known).state, endAnnouncement(known).incarnation], ["gone", BEAT.born]);
    });
});
