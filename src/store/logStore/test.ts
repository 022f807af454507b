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
    return Array.from({ length: count }, (_, place) => ({
        index: from + place as LogIndex,
        term: term as Term,
        payload: Buffer.from(`entry ${from + place} of term ${term}`),
    }));
}

async function appendEach(store: LogStore, entries: readonly StoredEntry[]) {
    for (const entry of entries) await store.append([entry]);
}

async function readAgain(disk: MemoryDisk) {
    disk.crash();
    const store = await openStore(disk);
    const entries = store.takeEntries();
    return { store, found: entries.map(({ index, term }) => `${index}/${term}`).join(" ") };
}

function isDamaged(err: unknown) {
    return err instanceof StoreError && err.reason === "damaged";
}

/** Takes half of a write that does not fit, as a real disk may. */
class HalfWritingDisk extends MemoryDisk {
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

/** Forgets removals at a power cut, as a folder that was not synced does. */
class RemovalLosingDisk extends MemoryDisk {
    override async remove(): Promise<void> {}
}

describe("LogStore", () => {
    const clock = new VirtualClock();

    describe("open", () => {
        it("gives back what was written, over several segments", async () => {
            const disk = new MemoryDisk(clock);
            const store = await openStore(disk);
            await appendEach(store, makeEntries(1, 20));
            await store.saveVote({ term: 3 as Term, votedFor: undefined });
            await store.truncateFrom(7 as LogIndex);
            await appendEach(store, makeEntries(7, 2, 3));
            assert.ok((await disk.list("log")).length > 1);
            const again = await readAgain(disk);
            assert.equal(again.found, "1/1 2/1 3/1 4/1 5/1 6/1 7/3 8/3");
            assert.deepEqual(again.store.vote, { term: 3, votedFor: undefined });
            assert.deepEqual(again.store.identity, store.identity);
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
            await assert.rejects(readAgain(disk), isDamaged);
        });
    });

    describe("a power cut in the middle of a write", () => {
        it("keeps the synced entries and cuts off the torn one", async () => {
            // A control host does not come up after a power cut, or comes up without its last accepted entries.
            // Power goes while a record is written; the file ends inside the record.
            // Cause: the torn record is taken for damage, or the next record is written behind it.
            const recordBytes = 60;
            for (let kept = 0; kept < recordBytes; kept++) {
                const disk = new MemoryDisk(clock);
                const store = await openStore(disk);
                await appendEach(store, makeEntries(1, 2));
                disk.syncMs = 1;
                void store.append(makeEntries(3, 1));
                await new Promise(resolve => setImmediate(resolve));
                disk.crash(kept);
                disk.syncMs = 0;
                const torn = await openStore(disk);
                await torn.append(makeEntries(torn.lastIndex + 1, 1, 2));
                assert.match((await readAgain(disk)).found, /^1\/1 2\/1 (3\/1 4\/2|3\/2)$/);
            }
        });
    });

    describe("a changed bit", () => {
        it("stops the replica wherever in the log it is", async () => {
            // An accepted entry is gone although its host never lost power.
            // A disk changes a bit of a synced record, the last one or its length; the process restarts.
            // Cause: a changed record at the end looks like a torn one and is cut off.
            const disk = new MemoryDisk(clock);
            await appendEach(await openStore(disk), makeEntries(1, 3));
            const [name] = await disk.list("log");
            const size = (await disk.read(`log/${name}`))!.length;
            for (let offset = 0; offset < size; offset++) {
                disk.damage(`log/${name}`, offset);
                await assert.rejects(readAgain(disk), isDamaged, `byte ${offset}`);
                disk.damage(`log/${name}`, offset);
            }
            assert.equal((await readAgain(disk)).found, "1/1 2/1 3/1");
        });

        it("stops the replica in vote, identity and snapshot", async () => {
            const disk = new MemoryDisk(clock);
            const store = await openStore(disk);
            const state = Buffer.from("state");
            await store.saveSnapshot({ index: 1 as LogIndex, term: 1 as Term, configuration: {}, state });
            for (const path of ["vote", "identity", "snapshot"]) {
                disk.damage(path, 6);
                await assert.rejects(readAgain(disk), isDamaged, path);
                disk.damage(path, 6);
            }
        });
    });

    describe("a full disk", () => {
        it("keeps nothing of the write, and goes on once there is space", async () => {
            // After the disk was full for a moment, the host refuses to start: its log is damaged.
            // A write does not fit; a part of it stays in the file; space comes back and the next record follows it.
            // Cause: the part that was written is not cut off.
            const disk = new HalfWritingDisk(clock);
            const store = await openStore(disk);
            await appendEach(store, makeEntries(1, 2));
            disk.isFull = true;
            await assert.rejects(store.append(makeEntries(3, 1)), (err: StoreError) => err.reason === "full");
            disk.isFull = false;
            await store.append(makeEntries(3, 1, 2));
            assert.equal((await readAgain(disk)).found, "1/1 2/1 3/2");
        });
    });

    describe("a removed segment that comes back", () => {
        it("does not bring its entries back", async () => {
            // Replicas differ for good after a power cut: one has entries that the leader took back.
            // Entries over several segments are cut off and new ones are written; the removal of a file was never synced.
            // Cause: the old file stands behind the new entries as if it belonged there.
            const disk = new RemovalLosingDisk(clock);
            const store = await openStore(disk);
            await appendEach(store, makeEntries(1, 9));
            await store.truncateFrom(2 as LogIndex);
            await appendEach(store, makeEntries(2, 1, 2));
            assert.equal((await readAgain(disk)).found, "1/1 2/2");
        });
    });

    describe("a snapshot from the leader", () => {
        it("takes the place of entries that it overtakes, also when a crash comes before they are removed", async () => {
            const disk = new MemoryDisk(clock);
            const store = await openStore(disk);
            await store.saveIdentity("cluster" as ClusterId, undefined);
            await appendEach(store, makeEntries(1, 3));
            const state = Buffer.from("state");
            await store.saveSnapshot({ index: 9 as LogIndex, term: 2 as Term, configuration: {}, state });
            const again = await readAgain(disk);
            assert.equal(again.found, "");
            assert.equal(again.store.lastIndex, 9);
            await again.store.append(makeEntries(10, 1, 2));
            assert.equal((await readAgain(disk)).found, "10/2");
        });
    });
});
