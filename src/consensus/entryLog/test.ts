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
    const reopen = () => LogStore.open({ disk, random: new SeededRandom(1) });
    const log = new EntryLog(await reopen(), { onDurable: () => undefined, onStoreError: () => undefined });
    return { clock, disk, log, open: reopen };
}

describe("EntryLog", () => {
    describe("append", () => {
        it("writes entries that arrive during a sync in the next sync", async () => {
            const { clock, disk, log } = await openLog();
            disk.syncDurationMs = 10;
            for (let index = 1; index <= 50; index++) {
                log.append([makeEntry(index, 1)]);
                await clock.advance(1);
            }
            await clock.advance(20);
            assert.equal(log.durableIndex, 50);
        });
    });

    describe("a full disk", () => {
        it("removes entries that were not written, so that the leader's resend is stored", async () => {
            // Prevents a host from never catching up after its disk was temporarily full. If the entry that did not fit
            // stayed in memory, the leader's resend would look already written and would not be stored.
            const { clock, disk, log } = await openLog();
            disk.capacityBytes = 1;
            log.append([makeEntry(1, 1)]);
            await assert.rejects(clock.runUntil(log.whenDurable(1 as LogIndex), 100));
            assert.equal(log.lastIndex, 0);
            disk.capacityBytes = 10_000;
            log.append([makeEntry(1, 1)]);
            await clock.runUntil(log.whenDurable(1 as LogIndex), 100);
        });
    });

    describe("a truncation during a sync", () => {
        it("counts only the new entries as synced", async () => {
            // Prevents the loss of an accepted entry after a restart of two hosts. A new leader replaces entries that a
            // follower is still syncing. If the end of the old sync counted for the new entries, the follower would
            // acknowledge entries that are not on disk.
            const { clock, disk, log, open } = await openLog();
            disk.syncDurationMs = 10;
            log.append([makeEntry(1, 1), makeEntry(2, 1)]);
            await clock.advance(5);
            log.truncateFrom(2 as LogIndex);
            log.append([makeEntry(2, 2)]);
            await clock.advance(6);
            assert.ok(log.durableIndex < 2);
            await clock.advance(20);
            assert.equal(log.durableIndex, 2);
            disk.crash();
            assert.deepEqual((await open()).takeLoadedEntries().map(entry => entry.term), [1, 2]);
        });
    });
});
