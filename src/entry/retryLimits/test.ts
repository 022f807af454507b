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
});
