import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { announcementSchema } from "./index.js";

const SEED = 64;
const RUNS = 300;
const ANNOUNCEMENT = {
    id: "u1",
    incarnation: 1,
    sequence: 1,
    state: "ready",
    kind: "engine",
    pools: ["draft"],
    zone: "vogar",
    address: "10.1.0.1:8000",
    slots: 2,
    price_per_hour: 1_000_000,
    reclaimable: false,
    checks_fence: true,
    load: { running: 0, queued: 0, kv_used: 0, tokens_per_second: 0, age_ms: 0 },
};
const NUMBERS = ["incarnation", "sequence", "slots", "price_per_hour", "cold_ms", "reclaim_in_ms"];

function isAccepted(fields: Record<string, unknown>): boolean {
    return announcementSchema.safeParse({ ...ANNOUNCEMENT, ...fields }).success;
}

describe("announcementSchema", () => {
    it("accepts an address by IP or by name", () => {
        for (const address of ["10.1.0.1:8000", "[::1]:80", "engine-1:65535"]) {
            assert.ok(isAccepted({ address }), address);
        }
    });

    it("rejects an address at which nothing can listen", () => {
        // Failure: each call that is sent there waits for a lookup, or counts against the upstream as a lost connection.
        const addresses = ["", "nowhere", "10.1.0.1:0", "999.0.0.1:80", "10.1:80", "[::1::]:80", "10.1.0.1:65536"];
        for (const address of addresses) assert.ok(!isAccepted({ address }), address);
    });

    it("rejects numbers at the limit of what can be computed with", () => {
        // Failure: sums become infinite, and no later announcement or start of the id counts.
        for (const field of NUMBERS) {
            assert.ok(!isAccepted({ [field]: Number.MAX_SAFE_INTEGER }), field);
            assert.ok(!isAccepted({ [field]: 1e308 }), field);
        }
        for (const field of ["running", "queued", "tokens_per_second", "age_ms"]) {
            const load = { ...ANNOUNCEMENT.load, [field]: Number.MAX_SAFE_INTEGER };
            assert.ok(!isAccepted({ load }), field);
        }
    });

    it("rejects or reads any JSON without an error", () => {
        // Failure: one entry ends the task or the process that reads it.
        const field = fc.constantFrom(...Object.keys(ANNOUNCEMENT), "__proto__", "cache", "unknown");
        fc.assert(
            fc.property(fc.dictionary(field, fc.jsonValue({ maxDepth: 4 })), fields => {
                const parsed = announcementSchema.safeParse({ ...ANNOUNCEMENT, ...fields });
                if (!parsed.success) return;
                assert.ok(parsed.data.sequence + 1 > parsed.data.sequence);
                assert.deepEqual(announcementSchema.parse(parsed.data), parsed.data);
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });

    it("reads past an unknown field of 100,000 nested lists", () => {
        // Failure: the depth of an entry exhausts the stack of the process that reads it, or of the next one.
        const deep = "[".repeat(100_000) + "]".repeat(100_000);
        const text = JSON.stringify(ANNOUNCEMENT).replace("{", `{"unknown":${deep},`);
        assert.deepEqual(announcementSchema.parse(JSON.parse(text)), ANNOUNCEMENT);
        assert.ok(!isAccepted({ zone: JSON.parse(deep) }));
    });
});
