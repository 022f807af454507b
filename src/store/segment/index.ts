import { crc32 } from "@node-rs/crc32";
import { LogIndex, Term } from "../../ids/index.js";
import { AppendFile, Disk, DiskError } from "../../ports/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";
import { StoreError, turnDiskError } from "../storeError/index.js";

/** One entry as the files keep it. The payload stays as its writer encoded it, with the fields this version does not know. */
export interface StoredEntry {
    readonly index: LogIndex;
    readonly term: Term;
    readonly payload: Uint8Array;
}

/** What a segment file held when it was opened. */
export interface LoadedSegment {
    readonly segment: Segment;
    readonly entries: StoredEntry[];
}

type RecordBody = readonly [index: LogIndex, term: Term, payload: Uint8Array];

/** Body length, checksum of the body, checksum of these two: four bytes each. */
const HEADER_BYTES = 12;
const HEADER_CHECKED_BYTES = 8;
const NAME_DIGITS = 16;
const NAME_SUFFIX = ".seg";

/** The folder of the segments. */
export const SEGMENT_FOLDER = "log";

/**
 * One file of consecutive entries.
 *
 * @example
 * const segment = await Segment.create(disk, 1 as LogIndex);
 */
export class Segment {
    /** For each record, the offset of the byte behind it. */
    private readonly ends: number[] = [];

    private constructor(
        private readonly disk: Disk,
        private readonly path: string,
        private readonly file: AppendFile,
        readonly firstIndex: LogIndex,
    ) {}

    /** Starts a segment whose first entry will have the index given. */
    static async create(disk: Disk, firstIndex: LogIndex): Promise<Segment> {
        const path = `${SEGMENT_FOLDER}/${String(firstIndex).padStart(NAME_DIGITS, "0")}${NAME_SUFFIX}`;
        return new Segment(disk, path, await disk.openAppend(path), firstIndex);
    }

    /**
     * Opens a segment and checks each record.
     *
     * Guards against two failures that look alike. A power cut in the middle of a write leaves the first bytes of a record
     * that was never acknowledged: the file ends inside it, and it is cut off. A disk that changes a synced bit, in the
     * last record too, leaves a record of full length that does not fit its checksum: cutting that off would lose an
     * acknowledged entry, so opening fails. The header has a checksum of its own, so that a changed length is not taken for a
     * short file.
     *
     * @param disk - Where.
     * @param name - The file's name in the folder.
     * @param mayBeTorn - True for the last segment only.
     * @throws StoreError with `damaged`.
     */
    static async load(disk: Disk, name: string, mayBeTorn: boolean): Promise<LoadedSegment> {
        const path = `${SEGMENT_FOLDER}/${name}`;
        const bytes = Buffer.from(await disk.read(path) ?? []);
        const firstIndex = Number(name.slice(0, -NAME_SUFFIX.length)) as LogIndex;
        const segment = new Segment(disk, path, await disk.openAppend(path), firstIndex);
        const entries: StoredEntry[] = [];
        let offset = 0;
        while (offset < bytes.length) {
            const record = readRecord(bytes, offset, path);
            if (!record) break;
            if (record.entry.index !== firstIndex + entries.length) {
                throw new StoreError("damaged", `${path} has entry ${record.entry.index} out of its place`);
            }
            entries.push(record.entry);
            offset = record.end;
            segment.ends.push(offset);
        }
        if (offset < bytes.length) {
            if (!mayBeTorn) throw new StoreError("damaged", `${path} ends inside a record and is not the last segment`);
            await segment.file.truncate(offset);
        }
        return { segment, entries };
    }

    get lastIndex(): LogIndex {
        return this.firstIndex + this.ends.length - 1 as LogIndex;
    }

    get size(): number {
        return this.ends.at(-1) ?? 0;
    }

    /**
     * Adds entries and syncs them.
     *
     * @throws StoreError with `full` when nothing of them was kept, with `io` when that is unknown.
     */
    async append(entries: readonly StoredEntry[]): Promise<void> {
        const before = this.size;
        const records = entries.map(encodeRecord);
        try {
            await this.file.append(Buffer.concat(records));
            await this.file.sync();
        }
        catch (err) {
            throw await this.undoAppend(before, err);
        }
        let end = before;
        for (const record of records) {
            end += record.length;
            this.ends.push(end);
        }
    }

    /** Cuts off the entry given and all behind it. */
    async truncateFrom(index: LogIndex): Promise<void> {
        const kept = Math.max(0, index - this.firstIndex);
        this.ends.length = Math.min(kept, this.ends.length);
        await this.file.truncate(this.size);
    }

    /**
     * Removes the file. It is emptied first: a folder does not sync a removal, and after a power cut a file that came back
     * with its entries would stand behind newer ones as if it belonged there.
     */
    async erase(): Promise<void> {
        await this.file.truncate(0);
        await this.close();
        await this.disk.remove(this.path);
    }

    async close(): Promise<void> {
        await this.file.close();
    }

    /** A full disk may have taken a part of the write. Without cutting that off, the next record would stand behind a torn one. */
    private async undoAppend(size: number, cause: unknown): Promise<StoreError> {
        if (!(cause instanceof DiskError) || cause.reason !== "full") return turnDiskError(cause);
        try {
            await this.file.truncate(size);
            return turnDiskError(cause);
        }
        catch (err) {
            return new StoreError("io", `after a full disk: ${String(err)}`);
        }
    }
}

function encodeRecord(entry: StoredEntry): Buffer {
    const body = encodeValue([entry.index, entry.term, entry.payload] satisfies RecordBody);
    const record = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    record.writeUInt32BE(body.length, 0);
    record.writeUInt32BE(crc32(body), 4);
    record.writeUInt32BE(crc32(record.subarray(0, HEADER_CHECKED_BYTES)), HEADER_CHECKED_BYTES);
    record.set(body, HEADER_BYTES);
    return record;
}

/** The record at an offset, or undefined when the bytes end inside it. */
function readRecord(bytes: Buffer, offset: number, path: string): { entry: StoredEntry; end: number; } | undefined {
    if (bytes.length - offset < HEADER_BYTES) return undefined;
    const header = bytes.subarray(offset, offset + HEADER_BYTES);
    if (crc32(header.subarray(0, HEADER_CHECKED_BYTES)) !== header.readUInt32BE(HEADER_CHECKED_BYTES)) {
        // Some file systems show blocks that were never written as zeros.
        if (bytes.subarray(offset).every(byte => byte === 0)) return undefined;
        throw new StoreError("damaged", `${path} has a changed record header at byte ${offset}`);
    }
    const start = offset + HEADER_BYTES;
    const end = start + header.readUInt32BE(0);
    if (end > bytes.length) return undefined;
    const body = bytes.subarray(start, end);
    if (crc32(body) !== header.readUInt32BE(4)) {
        throw new StoreError("damaged", `${path} has a changed record at byte ${offset}`);
    }
    const [index, term, payload] = decodeValue(body) as RecordBody;
    return { entry: { index, term, payload }, end };
}
