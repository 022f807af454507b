import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LogIndex, Term } from "../../ids/index.js";
import { MemoryDisk, SeededRandom, VirtualClock } from "../../ports/index.js";
import { LogStore, StoredEntry } from "../../store/index.js";
import { EntryLog } from "./index.js";

function makeEntry(index: number, term: number): StoredEntry {
    return { index: index as LogIndex, term: term as Term, payload: Buffer.from(`${index}/${term}`) };
}

async function openLog() {
    const clock = new VirtualClock();
    const disk = new MemoryDisk(clock);
    const open = () => LogStore.open({ disk, random: new SeededRandom(1) });
    const log = new EntryLog(await open(), { onDurable: () => undefined, onStoreError: () => undefined });
    return { clock, disk, log, open };
}

describe("EntryLog", () => {
    describe("append", () => {
        it("syncs what comes during a sync together with the next", async () => {
            const { clock, disk, log } = await openLog();
            disk.syncMs = 10;
            for (let index = 1; index <= 50; index++) {
                log.append([makeEntry(index, 1)]);
                await clock.advance(1);
            }
            await clock.advance(20);
            assert.equal(log.durableIndex, 50);
        });
    });

    describe("a full disk", () => {
        it("forgets what it did not take, so that the leader's resend is written", async () => {
            // A host whose disk was full for a moment never catches up again.
            // An entry does not fit; space comes back; the leader sends the entry once more.
            // Cause: the entry is still in memory, so the resend looks like one that is written already.
            const { clock, disk, log } = await openLog();
            disk.capacity = 1;
            log.append([makeEntry(1, 1)]);
            await assert.rejects(clock.runUntil(log.whenDurable(1 as LogIndex), 100));
            assert.equal(log.lastIndex, 0);
            disk.capacity = 10_000;
            log.append([makeEntry(1, 1)]);
            await clock.runUntil(log.whenDurable(1 as LogIndex), 100);
        });
    });

    describe("a cut while a sync is under way", () => {
        it("counts only the new entries as synced", async () => {
            // An accepted entry is gone after a restart of two hosts.
            // A new leader takes back entries that a follower is just syncing, and sends its own in their place.
            // Cause: when the old sync ends, the follower takes its entries' places for synced and acknowledges the new ones.
            const { clock, disk, log, open } = await openLog();
            disk.syncMs = 10;
            log.append([makeEntry(1, 1), makeEntry(2, 1)]);
            await clock.advance(5);
            log.truncateFrom(2 as LogIndex);
            log.append([makeEntry(2, 2)]);
            await clock.advance(6);
            assert.ok(log.durableIndex < 2);
            await clock.advance(20);
            assert.equal(log.durableIndex, 2);
            disk.crash();
            assert.deepEqual((await open()).takeEntries().map(entry => entry.term), [1, 2]);
        });
    });
});
