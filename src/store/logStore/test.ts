import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ClusterId, LogIndex, Term } from "../../ids/index.js";
import { AppendFile, DiskError, MemoryDisk, SeededRandom, VirtualClock } from "../../ports/index.js";
import { StoreError } from "../index.js";
import { LogStore, StoredEntry } from "./index.js";

const SEGMENT_BYTES = 200;

function openStore(disk: MemoryDisk) {
    return LogStore.open({ disk, random: new SeededRandom(1), segmentBytes: SEGMENT_BYTES });
}

function makeEntries(from: number, count: number, term = 1): StoredEntry[] {
    return Array.from({ length: count }, (_, offset) => ({
        index: from + offset as LogIndex,
        term: term as Term,
        payload: Buffer.from(`entry ${from + offset} of term ${term}`),
    }));
}

async function appendOneByOne(store: LogStore, entries: readonly StoredEntry[]) {
    for (const entry of entries) await store.append([entry]);
}

async function reopenAfterCrash(disk: MemoryDisk) {
    disk.crash();
    const store = await openStore(disk);
    const entries = store.takeLoadedEntries();
    return { store, found: entries.map(({ index, term }) => `${index}/${term}`).join(" ") };
}

function isDamaged(err: unknown) {
    return err instanceof StoreError && err.reason === "damaged";
}

/** Writes only half of the bytes when the disk is full, as a real disk may. */
class PartialWriteDisk extends MemoryDisk {
    isFull = false;

    override async openAppend(path: string): Promise<AppendFile> {
        const file = await super.openAppend(path);
        const append = file.append.bind(file);
        file.append = async bytes => {
            if (!this.isFull) return append(bytes);
            await append(bytes.subarray(0, bytes.length / 2));
            throw new DiskError("full", "no space left");
        };
        return file;
    }
}

/** Loses file removals in a power cut, as a directory that was not synced does. */
class LostRemovalDisk extends MemoryDisk {
    override async remove(): Promise<void> {}
}

describe("LogStore", () => {
    const clock = new VirtualClock();

    describe("open", () => {
        it("restores what was written, across several segments", async () => {
            const disk = new MemoryDisk(clock);
            const store = await openStore(disk);
            await appendOneByOne(store, makeEntries(1, 20));
            await store.saveVote({ term: 3 as Term, votedFor: undefined });
            await store.truncateFrom(7 as LogIndex);
            await appendOneByOne(store, makeEntries(7, 2, 3));
            assert.ok((await disk.list("log")).length > 1);
            const reopened = await reopenAfterCrash(disk);
            assert.equal(reopened.found, "1/1 2/1 3/1 4/1 5/1 6/1 7/3 8/3");
            assert.deepEqual(reopened.store.vote, { term: 3, votedFor: undefined });
            assert.deepEqual(reopened.store.identity, store.identity);
        });

        it("refuses a folder that is in use", async () => {
            const disk = new MemoryDisk(clock);
            await openStore(disk);
            await assert.rejects(openStore(disk), (err: StoreError) => err.reason === "locked");
        });

        it("refuses a folder that lost its vote", async () => {
            const disk = new MemoryDisk(clock);
            await openStore(disk);
            await disk.remove("vote");
            await assert.rejects(reopenAfterCrash(disk), isDamaged);
        });
    });

    describe("a power cut in the middle of a write", () => {
        it("keeps the synced entries and removes the torn one", async () => {
            // Prevents a control host from failing to start after a power cut, or from starting without its last
            // accepted entries. The power cut leaves a file that ends inside a record. That torn record must not be
            // treated as damage, and the next record must not be written after it.
            const recordBytes = 60;
            for (let kept = 0; kept < recordBytes; kept++) {
                const disk = new MemoryDisk(clock);
                const store = await openStore(disk);
                await appendOneByOne(store, makeEntries(1, 2));
                disk.syncDurationMs = 1;
                void store.append(makeEntries(3, 1));
                await new Promise(resolve => setImmediate(resolve));
                disk.crash(kept);
                disk.syncDurationMs = 0;
                const reopened = await openStore(disk);
                await reopened.append(makeEntries(reopened.lastIndex + 1, 1, 2));
                assert.match((await reopenAfterCrash(disk)).found, /^1\/1 2\/1 (3\/1 4\/2|3\/2)$/);
            }
        });
    });

    describe("a changed bit", () => {
        it("is reported as damage wherever in the log it is", async () => {
            // Prevents the loss of an accepted entry on a host that never lost power. The disk changes a bit of a
            // synced record, the last one or its length included, and the process restarts. A changed record at the end
            // must not be mistaken for a torn one and removed.
            const disk = new MemoryDisk(clock);
            await appendOneByOne(await openStore(disk), makeEntries(1, 3));
            const [name] = await disk.list("log");
            const size = (await disk.read(`log/${name}`))!.length;
            for (let offset = 0; offset < size; offset++) {
                disk.flipBit(`log/${name}`, offset);
                await assert.rejects(reopenAfterCrash(disk), isDamaged, `byte ${offset}`);
                disk.flipBit(`log/${name}`, offset);
            }
            assert.equal((await reopenAfterCrash(disk)).found, "1/1 2/1 3/1");
        });

        it("is reported as damage in vote, identity and snapshot", async () => {
            const disk = new MemoryDisk(clock);
            const store = await openStore(disk);
            const state = Buffer.from("state");
            await store.saveSnapshot({ index: 1 as LogIndex, term: 1 as Term, configuration: {}, state });
            for (const path of ["vote", "identity", "snapshot"]) {
                disk.flipBit(path, 6);
                await assert.rejects(reopenAfterCrash(disk), isDamaged, path);
                disk.flipBit(path, 6);
            }
        });
    });

    describe("a full disk", () => {
        it("discards the failed write, and accepts writes again once there is space", async () => {
            // Prevents a host from refusing to start with a damaged log after its disk was temporarily full. A part of
            // a failed write stays in the file unless it is truncated, and the next record would follow it.
            const disk = new PartialWriteDisk(clock);
            const store = await openStore(disk);
            await appendOneByOne(store, makeEntries(1, 2));
            disk.isFull = true;
            await assert.rejects(store.append(makeEntries(3, 1)), (err: StoreError) => err.reason === "full");
            disk.isFull = false;
            await store.append(makeEntries(3, 1, 2));
            assert.equal((await reopenAfterCrash(disk)).found, "1/1 2/1 3/2");
        });
    });

    describe("a removed segment that reappears", () => {
        it("does not restore its entries", async () => {
            // Prevents replicas from diverging permanently after a power cut. Entries over several segments are removed
            // and new ones are written, but the removal of a file was never synced. The old file must not be read as
            // the continuation of the new entries.
            const disk = new LostRemovalDisk(clock);
            const store = await openStore(disk);
            await appendOneByOne(store, makeEntries(1, 9));
            await store.truncateFrom(2 as LogIndex);
            await appendOneByOne(store, makeEntries(2, 1, 2));
            assert.equal((await reopenAfterCrash(disk)).found, "1/1 2/2");
        });
    });

    describe("a snapshot from the leader", () => {
        it("replaces the entries before it, even after a crash before their removal", async () => {
            const disk = new MemoryDisk(clock);
            const store = await openStore(disk);
            await store.saveIdentity("cluster" as ClusterId, undefined);
            await appendOneByOne(store, makeEntries(1, 3));
            const state = Buffer.from("state");
            await store.saveSnapshot({ index: 9 as LogIndex, term: 2 as Term, configuration: {}, state });
            const reopened = await reopenAfterCrash(disk);
            assert.equal(reopened.found, "");
            assert.equal(reopened.store.lastIndex, 9);
            await reopened.store.append(makeEntries(10, 1, 2));
            assert.equal((await reopenAfterCrash(disk)).found, "10/2");
        });
    });
});
