import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeGoneAnnouncement, parseHeartbeat } from "./index.js";

const HEARTBEAT = {
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

function parse(heartbeat: unknown) {
    return parseHeartbeat("i-1", Buffer.from(JSON.stringify(heartbeat)));
}

describe("parseHeartbeat", () => {
    it("turns a heartbeat into an announcement", () => {
        const announcement = parse(HEARTBEAT).unsafeCoerce();
        assert.deepEqual(
            [announcement.id, announcement.incarnation, announcement.sequence, announcement.state, announcement.pools],
            ["i-1", HEARTBEAT.born, 4, "ready", ["llm"]],
        );
    });

    it("reads that an engine is leaving and when the platform reclaims it", () => {
        const announcement = parse({ ...HEARTBEAT, state: "draining", spot: true, leaves_ms: 2500 }).unsafeCoerce();
        assert.deepEqual([announcement.state, announcement.reclaimable, announcement.reclaim_in_ms], [
            "leaving",
            true,
            2500,
        ]);
    });

    it("reads how long an engine stays cold", () => {
        assert.equal(parse({ ...HEARTBEAT, coldRemainingMs: 2_750 }).unsafeCoerce().cold_ms, 2_750);
        assert.equal(parse(HEARTBEAT).unsafeCoerce().cold_ms, undefined);
        assert.ok(parse({ ...HEARTBEAT, coldRemainingMs: "soon" }).isLeft());
    });

    it("reads the version of an engine's software", () => {
        assert.equal(parse(HEARTBEAT).unsafeCoerce().software_version, "v1");
        for (const version of [undefined, "", "v".repeat(257)]) {
            assert.equal(parse({ ...HEARTBEAT, version }).unsafeCoerce().software_version, undefined);
        }
        assert.ok(parse({ ...HEARTBEAT, version: 1 }).isLeft());
    });

    it("refuses fields that are missing or of the wrong type", () => {
        for (
            const part of [{ service: 1 }, { state: "resting" }, { address: "nowhere" }, { slots: "4" }, { born: 1.5 }]
        ) {
            assert.ok(parse({ ...HEARTBEAT, ...part }).isLeft(), JSON.stringify(part));
        }
        assert.ok(parseHeartbeat("i-1", Buffer.from("{")).isLeft());
    });

    it("announces an engine as gone under its incarnation", () => {
        const known = parse(HEARTBEAT).unsafeCoerce();
        assert.deepEqual([makeGoneAnnouncement(known).state, makeGoneAnnouncement(known).incarnation], [
            "gone",
            HEARTBEAT.born,
        ]);
    });
});
