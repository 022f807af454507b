import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { MemoryDisk, VirtualClock } from "../../ports/index.js";
import { StoreError } from "../storeError/index.js";
import { RecordJournal } from "./index.js";

const FOLDER = "usage";

function encode(...texts: string[]): Buffer[] {
    return texts.map(text => Buffer.from(text));
}

async function reopen(disk: MemoryDisk) {
    const { journal, bodies } = await RecordJournal.open(disk, FOLDER);
    return { journal, texts: bodies.map(body => Buffer.from(body).toString()) };
}

describe("RecordJournal", () => {
    it("returns all records when it is opened again", async () => {
        const disk = new MemoryDisk(new VirtualClock());
        const { journal } = await reopen(disk);
        await journal.append(encode("a", "b"));
        await journal.append(encode("c"));
        disk.crash();
        assert.deepEqual((await reopen(disk)).texts, ["a", "b", "c"]);
    });

    it("ignores a torn record at the end of a file, and keeps what is appended later", async () => {
        const disk = new MemoryDisk(new VirtualClock());
        const { journal } = await reopen(disk);
        await journal.append(encode("a"));
        const file = await disk.openAppend(`${FOLDER}/0000000001.jnl`);
        await file.append(Buffer.from([0, 0, 0, 9, 1]));
        disk.crash(3);
        const second = await reopen(disk);
        assert.deepEqual(second.texts, ["a"]);
        await second.journal.append(encode("b"));
        assert.deepEqual((await reopen(disk)).texts, ["a", "b"]);
    });

    it("refuses files in which a synced record has changed", async () => {
        const disk = new MemoryDisk(new VirtualClock());
        const { journal } = await reopen(disk);
        await journal.append(encode("a", "b"));
        disk.flipBit(`${FOLDER}/0000000001.jnl`, 12);
        await assert.rejects(reopen(disk), (err: StoreError) => err.reason === "damaged");
    });

    it("keeps only the new records after it has replaced all", async () => {
        const disk = new MemoryDisk(new VirtualClock());
        const { journal } = await reopen(disk);
        await journal.append(encode("a", "b"));
        await journal.replaceAll(encode("b"));
        await journal.append(encode("c"));
        disk.crash();
        assert.deepEqual((await reopen(disk)).texts, ["b", "c"]);
        assert.equal((await disk.list(FOLDER)).length, 1);
    });

    it("counts the size of files from earlier runs, so that they are replaced in time", async () => {
        const disk = new MemoryDisk(new VirtualClock());
        await (await reopen(disk)).journal.append(encode("a"));
        await (await reopen(disk)).journal.append(encode("b"));
        const { journal } = await reopen(disk);
        const recordBytes = 13;
        assert.equal(journal.size, 2 * recordBytes);
        await journal.append(encode("c"));
        await journal.replaceAll(encode("d"));
        assert.equal(journal.size, recordBytes);
    });

    it("goes on after the disk was full", async () => {
        const disk = new MemoryDisk(new VirtualClock());
        const { journal } = await reopen(disk);
        await journal.append(encode("a"));
        disk.capacityBytes = 0;
        await assert.rejects(journal.append(encode("b")), (err: StoreError) => err.reason === "full");
        disk.capacityBytes = Number.POSITIVE_INFINITY;
        await journal.append(encode("c"));
        assert.deepEqual((await reopen(disk)).texts, ["a", "c"]);
    });
});
