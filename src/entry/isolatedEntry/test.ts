import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, sendCalls } from "../../faultInjection/index.js";
import { WorkspaceId } from "../../ids/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const WORKSPACE = "butcher" as WorkspaceId;
const ISOLATED = "10.0.1.1";
/** Longer than a window and the holder's wait after its end for entries that have not reported, in seconds. */
const WINDOWS_CLOSED_S = 15;
/** Time in which the entry reports again and later windows are closed, in milliseconds. */
const RECOVERY_MS = 15_000;

describe("an entry that reaches neither control processes nor other entries", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    afterEach(() => fleet.running?.close());

    it("has its starts counted although their window was closed meanwhile", async () => {
        // Calls answered within the lease of its view are never billed: starts of closed windows are dropped.
        const running = new RoutedFleet({ entries: 3, queueHosts: true });
        fleet.running = running;
        await running.start(makeDocument({ routes: [makeRoute({ kind: "idempotent", timeoutMs: 4_000 })] }));
        const others = ["10.0.1.2", "10.0.1.3", ...[1, 2, 3, 4, 5].map(number => `10.0.0.${number}`)];
        running.fabric.isolate(ISOLATED, others, true);
        const sent = await sendCalls(running, { seconds: 1, key: KEY });
        sent.push(...await sendCalls(running, { seconds: WINDOWS_CLOSED_S, perSecond: 4, entries: [1, 2], key: KEY }));
        const replies = await running.run(Promise.all(sent));
        assert.ok(replies.every(({ status }) => status === 200));
        running.fabric.isolate(ISOLATED, others, false);
        await running.advance(RECOVERY_MS);
        const { starts } = running.controls[running.holder()]!.state;
        const counts = starts.listUnreported().map(window => window.counts[WORKSPACE] ?? 0);
        assert.equal(counts.reduce((sum, count) => sum + count, 0), replies.length);
    });
});
