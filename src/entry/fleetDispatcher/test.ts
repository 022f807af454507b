import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { checkSlots, RecordingLogger, RoutedFleet } from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const POOL = "ledger" as PoolId;

describe("an entry whose queue owner does not answer", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    afterEach(() => fleet.running?.close());

    it("logs which owner it leaves, why, and which one comes next", async () => {
        const logger = new RecordingLogger();
        const running = new RoutedFleet({ entries: 1, queueHosts: true, logger });
        fleet.running = running;
        await running.start(makeDocument({ routes: [makeRoute({ kind: "idempotent", timeoutMs: 4_000 })] }));
        const lost = running.queueOwner(POOL);
        running.cutControl(lost, true);
        const reply = await running.call({ entry: 0, path: "/orders/1", key: KEY, body: "" });
        assert.equal(reply.status, 200);
        const [{ pool, owner, next, problem }] = logger.list("queue-owner-suspected");
        assert.deepEqual([pool, owner, next], [POOL, `control-${lost}`, `control-${running.queueOwner(POOL)}`]);
        assert.match(String(problem), /timeout/);
    });
});

describe("an entry that has lost track of a grant", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    afterEach(() => fleet.running?.close());

    it("ends it, and so does the owner of the queue", async () => {
        // Failure: the entry reports the grant to each new owner of the queue, and its slot is taken for good.
        const logger = new RecordingLogger();
        const running = new RoutedFleet({ entries: 1, controls: 3, queueHosts: true, logger });
        fleet.running = running;
        await running.start(makeDocument({ routes: [makeRoute({ kind: "idempotent", timeoutMs: 1_000 })] }));
        const dispatcher = running.entries[0]!.dispatcher;
        const complete = dispatcher.complete.bind(dispatcher);
        dispatcher.complete = () => undefined;
        const reply = await running.call({ entry: 0, path: "/orders/1", key: KEY, body: "" });
        dispatcher.complete = complete;
        assert.equal(reply.status, 200);
        await running.killControl(running.queueOwner(POOL));
        await running.advance(5_000);
        await checkSlots(running);
        assert.equal(logger.list("grant-unended").length, 1);
    });
});
