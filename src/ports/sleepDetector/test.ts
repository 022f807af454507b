import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SleepDetector } from "./index.js";

describe("SleepDetector", () => {
    describe("a suspended machine", () => {
        // A host is suspended for five seconds while it holds a lease of two. Its steady clock has stood still, so by that
        // clock the lease still runs when it wakes up, and another host has had the lease for three seconds.
        it("counts the time for which the steady clock stood still", () => {
            const detector = new SleepDetector();
            detector.sleptMs(1_000_000, 500);
            assert.equal(detector.sleptMs(1_005_010, 510), 5_000);
            assert.equal(detector.sleptMs(1_006_010, 1_510), 5_000);
        });
    });

    describe("a wall clock that is set", () => {
        it("never takes back what was counted", () => {
            const detector = new SleepDetector();
            detector.sleptMs(1_000_000, 0);
            detector.sleptMs(1_002_400, 0);
            assert.equal(detector.sleptMs(1_000_000, 0), 2_400);
        });

        it("takes small corrections for what they are", () => {
            const detector = new SleepDetector();
            detector.sleptMs(1_000_000, 0);
            assert.equal(detector.sleptMs(1_000_050, 0), 0);
        });
    });
});
