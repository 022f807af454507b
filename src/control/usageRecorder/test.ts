import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet } from "../../faultInjection/index.js";
import { makeDocument } from "../../routing/index.js";

const CALLS = 10;
/** Maximum time until counts are on disk, in milliseconds. */
const MAX_RECORD_DELAY_MS = 300;

describe("counts of started requests", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    afterEach(() => fleet.running?.close());

    it("survive a power loss of all hosts in the middle of their window", async () => {
        // Counts that are only in the memory of processes are lost when all of these stop, and the window would be reported incomplete.
        const running = new RoutedFleet({ entries: 2, upstreams: [{}], queueHosts: true });
        fleet.running = running;
        await running.start(makeDocument());
        for (let call = 0; call < CALLS; call++) {
            assert.equal(
                (await running.call({ entry: call % 2, path: `/orders/${call}`, key: "butcher-key" })).status,
                200,
            );
        }
        await running.advance(MAX_RECORD_DELAY_MS);
        for (const number of [0, 1]) await running.killEntry(number);
        for (const number of [0, 1, 2, 3, 4]) await running.killControl(number);
        for (const number of [0, 1, 2, 3, 4]) await running.run(running.startControl(number));
        await running.advance(6_000);
        const { openStarts, starts } = running.controls[running.holder()]!.state;
        const open = openStarts.list().flatMap(({ windows }) => windows);
        const counts = [...open, ...starts.listUnreported()].map(window => window.counts["butcher" as never] as number);
        assert.equal(counts.reduce((sum, count) => sum + count, 0), CALLS);
    });
});
