import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MemoryDisk } from "../memoryDisk/index.js";
import { MemoryFabric } from "../memoryFabric/index.js";
import { VirtualClock } from "../virtualClock/index.js";
import { MemoryHost } from "./index.js";

function makeHost() {
    const clock = new VirtualClock();
    const network = new MemoryFabric(clock, () => 1).network("10.0.0.1");
    const host = new MemoryHost({ clock, network, disk: new MemoryDisk(clock) });
    return { clock, host };
}

/** Records the simulation times at which a timer of the host fires. */
function recordTimer(clock: VirtualClock, host: MemoryHost, ms: number) {
    const firedAt: number[] = [];
    host.clock.after(ms, () => firedAt.push(Math.round(clock.monotonic())));
    return firedAt;
}

describe("MemoryHost", () => {
    describe("suspend", () => {
        it("stops the monotonic clock, but not the one that includes suspensions", async () => {
            const { clock, host } = makeHost();
            await clock.advance(100);
            host.suspend();
            await clock.advance(5_000);
            host.thaw();
            await clock.advance(100);
            assert.equal(host.clock.monotonic(), 200);
            assert.equal(host.clock.monotonicWithSuspend(), 5_200);
        });

        it("delays timers by the time of the suspension", async () => {
            const { clock, host } = makeHost();
            const before = recordTimer(clock, host, 50);
            const meanwhile = recordTimer(clock, host, 400);
            const after = recordTimer(clock, host, 7_000);
            await clock.advance(100);
            host.suspend();
            await clock.advance(5_000);
            host.thaw();
            await clock.advance(10_000);
            assert.deepEqual([before, meanwhile, after], [[50], [5_400], [12_000]]);
        });
    });

    describe("freeze", () => {
        it("defers timers until the thaw, while the clock goes on", async () => {
            const { clock, host } = makeHost();
            const firedAt = recordTimer(clock, host, 400);
            host.freeze();
            await clock.advance(5_000);
            host.thaw();
            assert.deepEqual(firedAt, [5_000]);
            assert.equal(host.clock.monotonic(), 5_000);
        });
    });
});
