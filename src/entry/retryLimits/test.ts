import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RepeatLoad, RoutedFleet } from "../../faultInjection/index.js";
import { SeededRandom } from "../../ports/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const UPSTREAMS = 8;
const WARM_UP_MS = 22_000;

interface LoadOptions {
    readonly seed: number;
    readonly entries: number;
    readonly slack: number;
    readonly callsPerS: number;
    readonly workMs: number;
    readonly route: Parameters<typeof makeRoute>[0];
}

/** Starts a fleet under load, long enough that all entries have their whole share of the limits. */
async function startLoad({ seed, entries, slack, callsPerS, workMs, route }: LoadOptions) {
    const upstreams = Array.from({ length: UPSTREAMS }, () => ({ slots: 16, workMs }));
    const repeats = { ratio: 0.2, windowMs: 10_000, slack };
    const fleet = new RoutedFleet({ seed, controls: 3, entries, upstreams, queueHosts: true, repeats });
    await fleet.start(makeDocument({ routes: [makeRoute(route)] }));
    const load = new RepeatLoad({ fleet, random: new SeededRandom(seed), callsPerS });
    await load.sendFor(WARM_UP_MS);
    return { fleet, load };
}

async function assertWithinLimits(fleet: RoutedFleet, load: RepeatLoad): Promise<void> {
    const { repeats, allowed } = load.findWorst();
    await fleet.close();
    assert.ok(repeats <= allowed, `${repeats} retries of ${allowed} allowed`);
}

describe("limits on retries of a pool", () => {
    describe("hosts that vanish after a failure of all upstreams", () => {
        for (const slack of [30, 60]) {
            it(`leave no more of a slack of ${slack} to the others than before`, async () => {
                // Failure: the entries that are left share the slack out anew while the retries of the others are still in the window.
                const route = { kind: "once", timeoutMs: 2_000 };
                const { fleet, load } = await startLoad({
                    seed: 1,
                    entries: 12,
                    slack,
                    callsPerS: 12,
                    workMs: 40,
                    route,
                });
                load.setFault("refuse");
                await load.sendFor(2_000);
                load.setFault(undefined);
                for (let number = 0; number < 8; number++) await fleet.killEntry(number);
                await load.sendFor(4_800);
                load.setFault("refuse");
                await load.sendFor(2_500);
                await assertWithinLimits(fleet, load);
            });
        }
    });

    describe("retries that wait for a slot", () => {
        it("count when they are sent", async () => {
            // Failure: retries that wait leave the window too early, so that those of two bursts arrive within one window.
            const upstreams = [{ slots: 12, workMs: 5_000 }, { slots: 16, workMs: 5_000 }];
            const repeats = { ratio: 0.2, windowMs: 10_000, slack: 10 };
            const fleet = new RoutedFleet({ controls: 3, entries: 1, upstreams, queueHosts: true, repeats });
            const route = makeRoute({ kind: "idempotent", attempts: 3, timeoutMs: 15_000, targetMs: 10_000 });
            await fleet.start(makeDocument({ routes: [route] }));
            const load = new RepeatLoad({ fleet, random: new SeededRandom(1), callsPerS: 1 });
            await fleet.advance(12_000);
            load.sendAtOnce(28);
            await fleet.advance(1_000);
            await fleet.run(fleet.upstreams[0].crash());
            await fleet.advance(10_200);
            load.setFault("refuse", [1]);
            load.sendAtOnce(12);
            await fleet.advance(3_000);
            await assertWithinLimits(fleet, load);
        });
    });
});
