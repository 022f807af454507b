import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, sendCalls } from "../../faultInjection/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
/** Time after which an entry's view has ended that it could not renew, in milliseconds. */
const VIEW_END_MS = 5_000;

describe("an entry that does not reach the holder of the control lease, while other control hosts do", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(): Promise<RoutedFleet> {
        const upstreams = Array.from({ length: 3 }, () => ({ slots: 24 }));
        const running = new RoutedFleet({ entries: 2, upstreams, queueHosts: true });
        fleet.running = running;
        await running.start(makeDocument({ routes: [makeRoute({ kind: "once" })] }));
        return running;
    }

    afterEach(() => fleet.running?.close());

    it("goes on serving calls with keys", async () => {
        // Its view would end with the way to the holder, though each other control host reaches both.
        const running = await startFleet();
        running.cutControlFromEntries(running.holder(), [0]);
        await running.advance(VIEW_END_MS);
        const replies = await running.run(
            Promise.all(await sendCalls(running, { seconds: 4, entries: [0], key: KEY })),
        );
        assert.deepEqual(replies.filter(({ status }) => status !== 200), []);
    });

    it("gets changes, and withdrawn keys", async () => {
        const running = await startFleet();
        running.cutControlFromEntries(running.holder(), [0]);
        await running.advance(VIEW_END_MS);
        const route = makeRoute({ kind: "once" });
        await running.replaceDocument(makeDocument({ version: 2, routes: [route], workspaces: [] }), running.holder());
        await running.advance(1_000);
        assert.equal((await running.call({ entry: 0, path: "/orders/1", key: KEY })).status, 401);
    });

    it("asks the holder itself again once it reaches it", async () => {
        const running = await startFleet();
        const holder = running.holder();
        running.cutControlFromEntries(holder, [0]);
        await running.advance(VIEW_END_MS);
        running.restoreControlToEntries(holder, [0]);
        await running.advance(3_000);
        for (let number = 0; number < running.layout.controls; number++) {
            if (number !== holder) running.cutControlFromEntries(number, [0]);
        }
        await running.advance(VIEW_END_MS);
        assert.equal((await running.call({ entry: 0, path: "/orders/1", key: KEY })).status, 200);
    });
});
