import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { CallFault } from "../../emulator/index.js";
import { RecordedLine, RecordingLogger, RoutedFleet } from "../../faultInjection/index.js";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
/** Time after its start in which an entry repeats few calls, in milliseconds. */
const BUDGET_WINDOW_MS = 10_000;

describe("calls that may run once, at upstreams that refuse them", () => {
    let fleet: RoutedFleet;
    let logger: RecordingLogger;

    async function startFleet(faults: readonly CallFault[][]): Promise<void> {
        logger = new RecordingLogger();
        fleet = new RoutedFleet({ logger, entries: 1, upstreams: faults.map(() => ({})), queueHosts: true });
        await fleet.start(makeDocument({ routes: [makeRoute({ kind: "once", attempts: 1 })] }));
        await fleet.advance(BUDGET_WINDOW_MS);
        for (const [number, list] of faults.entries()) fleet.upstreams[number].faults.push(...list);
    }

    function readLines(event: string, names: readonly string[]): unknown[][] {
        return logger.list(event).map((line: RecordedLine) => names.map(name => line[name]));
    }

    afterEach(() => fleet.close());

    it("log for each attempt which call the answer named, what it stated, and what the connection had carried", async () => {
        await startFleet([["refuse", "refuse"]]);
        await fleet.call({ entry: 0, path: "/orders/1", key: KEY, request: "order-1" });
        const fields = ["status", "names", "statesNotRun", "sentBefore", "connectionUses"];
        assert.deepEqual(readLines("attempt-ended", fields), [
            [503, "this-call", true, 0, 0],
            [503, "this-call", true, 1, 0],
        ]);
        assert.deepEqual(readLines("call-ended", ["status", "refusals", "unsent"]), [[200, undefined, undefined]]);
    });

    it("log what the promise that a call has not run rests on", async () => {
        await startFleet([["refuse", "refuse", "refuse", "refuse", "refuse"]]);
        await fleet.call({ entry: 0, path: "/orders/1", key: KEY, request: "order-1" });
        assert.deepEqual(readLines("call-ended", ["status", "refusals", "unsent"]), [[503, 5, 0]]);
    });

    it("log an answer that names another call", async () => {
        await startFleet([["crossed"]]);
        await fleet.call({ entry: 0, path: "/orders/1", key: KEY, request: "order-1" });
        assert.deepEqual(readLines("attempt-ended", ["end", "names"]), [["lost", "another-call"]]);
        assert.deepEqual(readLines("call-ended", ["status", "refusals", "unsent"]), [[502, undefined, undefined]]);
    });

    it("are refused as malformed where they have two ids", async () => {
        // Both would reach the upstream, and its answer could not be told from that to another call.
        await startFleet([[]]);
        const headers = [[CALL_HEADERS.request, "order-2"]] as const;
        const { status } = await fleet.call({ headers, entry: 0, path: "/orders/1", key: KEY, request: "order-1" });
        assert.equal(status, 400);
        assert.deepEqual(fleet.upstreams[0].arrivals, []);
    });
});
