import { LogIndex, Term } from "../../ids/index.js";
import { AppendFile, Disk, DiskError } from "../../ports/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";
import { encodeRecord, readRecord } from "../recordFrame/index.js";
import { StoreError, toStoreError } from "../storeError/index.js";

/**
 * One stored log entry. The payload remains as its proposer encoded it, including fields that this version does not
 * know.
 */
export interface StoredEntry {
    readonly index: LogIndex;
    readonly term: Term;
    readonly payload: Uint8Array;
}

/** Segment and the entries that its file contained when it was opened. */
export interface LoadedSegment {
    readonly segment: Segment;
    readonly entries: StoredEntry[];
}

type RecordBody = readonly [index: LogIndex, term: Term, payload: Uint8Array];

const FILE_NAME_DIGITS = 16;
const FILE_NAME_SUFFIX = ".seg";

/** Folder that contains the segment files. */
export const SEGMENT_FOLDER = "log";

/**
 * File that contains consecutive entries.
 *
 * @example
 * const segment = await Segment.create(disk, 1 as LogIndex);
 */
export class Segment {
    /** End offset of each record. */
    private readonly recordEnds: number[] = [];

    private constructor(
        private readonly disk: Disk,
        private readonly path: string,
        private readonly file: AppendFile,
        readonly firstIndex: LogIndex,
    ) {}

    /** Creates a segment whose first entry will have the given index. */
    static async create(disk: Disk, firstIndex: LogIndex): Promise<Segment> {
        const path = `${SEGMENT_FOLDER}/${String(firstIndex).padStart(FILE_NAME_DIGITS, "0")}${FILE_NAME_SUFFIX}`;
        return new Segment(disk, path, await disk.openAppend(path), firstIndex);
    }

    /**
     * Opens a segment and checks each record.
     *
     * A torn record at the end of the last segment was never acknowledged and is removed. Removing a record that does not
     * match its checksum would lose an acknowledged entry, so opening fails.
     *
     * @param disk - Disk that contains the file.
     * @param name - Name of the file in the segment folder.
     * @param mayBeTorn - True only for the last segment.
     * @throws StoreError with `damaged`.
     */
    static async load(disk: Disk, name: string, mayBeTorn: boolean): Promise<LoadedSegment> {
        const path = `${SEGMENT_FOLDER}/${name}`;
        const bytes = Buffer.from(await disk.read(path) ?? []);
        const firstIndex = Number(name.slice(0, -FILE_NAME_SUFFIX.length)) as LogIndex;
        const segment = new Segment(disk, path, await disk.openAppend(path), firstIndex);
        const entries: StoredEntry[] = [];
        let offset = 0;
        while (offset < bytes.length) {
            const record = readRecord(bytes, offset, path);
            if (!record) break;
            const entry = decodeEntry(record.body);
            if (entry.index !== firstIndex + entries.length) {
                throw new StoreError("damaged", `${path} has entry ${entry.index} out of its place`);
            }
            entries.push(entry);
            offset = record.end;
            segment.recordEnds.push(offset);
        }
        if (offset < bytes.length) {
            if (!mayBeTorn) throw new StoreError("damaged", `${path} ends inside a record and is not the last segment`);
            await segment.file.truncate(offset);
        }
        return { segment, entries };
    }

    get lastIndex(): LogIndex {
        return this.firstIndex + this.recordEnds.length - 1 as LogIndex;
    }

    get size(): number {
        return this.recordEnds.at(-1) ?? 0;
    }

    /**
     * Appends entries and syncs them.
     *
     * @throws StoreError with `full` when none of them was stored, with `io` when that is unknown.
     */
    async append(entries: readonly StoredEntry[]): Promise<void> {
        const before = this.size;
        const records = entries.map(encodeEntry);
        try {
            await this.file.append(Buffer.concat(records));
            await this.file.sync();
        }
        catch (err) {
            throw await this.revertAppend(before, err);
        }
        let end = before;
        for (const record of records) {
            end += record.length;
            this.recordEnds.push(end);
        }
    }

    /** Removes the entry at an index and all later entries. */
    async truncateFrom(index: LogIndex): Promise<void> {
        const kept = Math.max(0, index - this.firstIndex);
        this.recordEnds.length = Math.min(kept, this.recordEnds.length);
        await this.file.truncate(this.size);
    }

    /**
     * Removes the file. It is emptied first because the removal is not synced: if the file reappeared with its entries
     * after a power cut, they would be read as the continuation of newer ones.
     */
    async emptyAndRemove(): Promise<void> {
        await this.file.truncate(0);
        await this.close();
        await this.disk.remove(this.path);
    }

    async close(): Promise<void> {
        await this.file.close();
    }

    /** Removes a partial write after the disk was full. Otherwise the next record would follow a torn one. */
    private async revertAppend(size: number, cause: unknown): Promise<StoreError> {
        if (!(cause instanceof DiskError) || cause.reason !== "full") return toStoreError(cause);
        try {
            await this.file.truncate(size);
            return toStoreError(cause);
        }
        catch (err) {
            return new StoreError("io", `after a full disk: ${String(err)}`);
        }
    }
}

function encodeEntry(entry: StoredEntry): Buffer {
    return encodeRecord(encodeValue([entry.index, entry.term, entry.payload] satisfies RecordBody));
}

function decodeEntry(body: Buffer): StoredEntry {
    const [index, term, payload] = decodeValue(body) as RecordBody;
    return { index, term, payload };
}
