import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SleepDetector } from "./index.js";

describe("SleepDetector", () => {
    describe("a suspended machine", () => {
        // A host that holds a lease of two seconds is suspended for five. By its monotonic clock, which stood still, the lease
        // is still valid after the wake-up, although another host has held it for three seconds.
        it("counts the time for which the monotonic clock stood still", () => {
            const detector = new SleepDetector();
            detector.suspendedMs(1_000_000, 500);
            assert.equal(detector.suspendedMs(1_005_010, 510), 5_000);
            assert.equal(detector.suspendedMs(1_006_010, 1_510), 5_000);
        });
    });

    describe("a wall clock that is set", () => {
        it("never reduces the counted time", () => {
            const detector = new SleepDetector();
            detector.suspendedMs(1_000_000, 0);
            detector.suspendedMs(1_002_400, 0);
            assert.equal(detector.suspendedMs(1_000_000, 0), 2_400);
        });

        it("ignores small corrections", () => {
            const detector = new SleepDetector();
            detector.suspendedMs(1_000_000, 0);
            assert.equal(detector.suspendedMs(1_000_050, 0), 0);
        });
    });
});
