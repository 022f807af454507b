import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FencingToken, WorkspaceId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { MemoryDisk, VirtualClock } from "../../ports/index.js";
import { StreamStartTable } from "../../resumption/index.js";
import { StartCounts } from "../../usage/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlState } from "../controlState/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { StartsTable } from "../startsTable/index.js";
import { JournalContent, UsageJournal } from "../usageJournal/index.js";
import { UsageCollector } from "./index.js";

const BUTCHER = "butcher" as WorkspaceId;
const WINDOW = 7;
const TERM = { token: 3 as FencingToken } as HolderTerm;
const NEXT_TERM = { token: 4 as FencingToken } as HolderTerm;

function makeContent(storeId: string, count: number): JournalContent {
    const starts = [{ run: "entry-1 1", windows: [{ window: WINDOW, counts: { [BUTCHER]: count } as StartCounts }] }];
    const batches = [{ kind: "usage.batch", host: "entry-1", incarnation: "1", sequence: count, sums: [] } as const];
    return { storeId, isVoter: true, voters: 5, starts, batches };
}

async function makeCollector() {
    const clock = new VirtualClock();
    const logger = new SilentLogger();
    const router = new PeerRouter();
    const journal = await UsageJournal.open({
        clock,
        disk: new MemoryDisk(clock),
        router,
        state: new ControlState(),
        logger,
        streamStarts: new StreamStartTable(clock),
        owner: () => ({ storeId: "a", isVoter: true, voters: 5 }),
        onReport: () => undefined,
        onLoaded: () => undefined,
    });
    const table = new StartsTable(clock, router);
    const replies = new Map<string, unknown>();
    const callVoters = async () => ({ voters: 5, replies: replies as never });
    return {
        clock,
        journal,
        table,
        replies,
        collector: new UsageCollector({ clock, logger, journal, table, callVoters }),
    };
}

describe("UsageCollector", () => {
    it("merges what other voters have stored", async () => {
        const { collector, replies, table, journal } = await makeCollector();
        replies.set("b", makeContent("b", 2)).set("c", makeContent("c", 3));
        await collector.step(TERM);
        assert.deepEqual(table.counts.sum(WINDOW), { butcher: 3 });
        assert.deepEqual(journal.listBatches().map(({ sequence }) => sequence), [2, 3]);
        assert.ok(collector.hasCollected(TERM));
    });

    it("does not count a host whose disk was replaced as one that has what was stored on the old one", async () => {
        const { collector, replies } = await makeCollector();
        replies.set("b", makeContent("b", 1)).set("c", makeContent("new", 1));
        await collector.step(TERM);
        assert.equal(collector.hasCollected(TERM), false);
    });

    it("has collected nothing in a new term, or for a time after the last read", async () => {
        const { clock, collector, replies } = await makeCollector();
        replies.set("b", makeContent("b", 1)).set("c", makeContent("c", 1));
        await collector.step(TERM);
        await clock.advance(500);
        assert.deepEqual(
            [collector.hasCollected(NEXT_TERM), collector.hasCollected(TERM, 499), collector.hasCollected(TERM, 500)],
            [false, false, true],
        );
    });
});
