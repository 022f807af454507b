import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { announcementSchema, MAX_ORDINAL } from "../../protocol/index.js";
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

    for (
        const [name, part] of [
            ["port 0", { address: "10.128.0.9:0" }],
            ["an address out of range", { address: "999.0.0.1:8080" }],
            ["a name in place of an address", { address: "engine.example:8080" }],
            ["a sequence that can't grow", { sequence: Number.MAX_SAFE_INTEGER }],
            ["a start that none can follow", { born: Number.MAX_SAFE_INTEGER }],
            ["slots without end", { slots: Number.MAX_SAFE_INTEGER }],
            ["a cold time without end", { coldRemainingMs: 1e308 }],
            ["an end that never comes", { leaves_ms: 1e308 }],
        ] as const
    ) {
        it(`refuses ${name}`, () => {
            // Failure: the pool's owner gives all work to slots that don't exist, or no later heartbeat of the id counts.
            assert.ok(parse({ ...HEARTBEAT, ...part }).isLeft());
        });
    }

    it("refuses an id that no other host accepts", () => {
        // Failure: the engine is confirmed here but known to no other host.
        assert.ok(parseHeartbeat("i".repeat(129), Buffer.from(JSON.stringify(HEARTBEAT))).isLeft());
    });

    it("refuses an id that a header can't hold", () => {
        // Failure: requests are granted to the engine, and none can be sent, since each names it in a header.
        for (const id of ["i-1\r\nx: 1", " i-1", "i-1 ", "\u0000", ""]) {
            assert.ok(parseHeartbeat(id, Buffer.from(JSON.stringify(HEARTBEAT))).isLeft(), JSON.stringify(id));
        }
        assert.ok(parseHeartbeat("máy-chủ-1", Buffer.from(JSON.stringify(HEARTBEAT))).isRight());
    });

    it("gives the departure after the last possible heartbeat a number that other hosts accept", () => {
        // Failure: other hosts discard the departure and keep sending work to the engine.
        const last = parse({ ...HEARTBEAT, sequence: MAX_ORDINAL }).unsafeCoerce();
        assert.ok(announcementSchema.safeParse(makeGoneAnnouncement(last)).success);
    });

    it("announces an engine as gone under its incarnation", () => {
        const known = parse(HEARTBEAT).unsafeCoerce();
        assert.deepEqual([makeGoneAnnouncement(known).state, makeGoneAnnouncement(known).incarnation], [
            "gone",
            HEARTBEAT.born,
        ]);
    });
});
