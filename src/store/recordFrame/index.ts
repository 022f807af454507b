import { crc32 } from "@node-rs/crc32";
import { StoreError } from "../storeError/index.js";

/** A record's body and the offset at which the next record begins. */
export interface ReadRecord {
    readonly body: Buffer;
    readonly end: number;
}

/** Record header: body length, checksum of the body, checksum of these two; four bytes each. */
const HEADER_BYTES = 12;
const HEADER_CHECKSUM_OFFSET = 8;

/**
 * Encodes a record: its body after a header with its length and checksums.
 *
 * @example
 * await file.append(encodeRecord(encodeValue(entry)));
 */
export function encodeRecord(body: Uint8Array): Buffer {
    const record = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    record.writeUInt32BE(body.length, 0);
    record.writeUInt32BE(crc32(body), 4);
    record.writeUInt32BE(crc32(record.subarray(0, HEADER_CHECKSUM_OFFSET)), HEADER_CHECKSUM_OFFSET);
    record.set(body, HEADER_BYTES);
    return record;
}

/**
 * Reads the record at an offset.
 *
 * Distinguishes two failures that look alike. A power cut during a write leaves the first bytes of a record that was never
 * acknowledged: the file ends inside it. A disk that changes a bit of a synced record leaves a record of full length that
 * does not match its checksum. The header has its own checksum, so that a changed length is not mistaken for a short file.
 *
 * @param bytes - Content of the file.
 * @param offset - Offset at which the record begins.
 * @param path - Path of the file, for error messages.
 * @returns The record; undefined when the bytes end inside it.
 * @throws StoreError with `damaged` when synced bytes have changed.
 * @example
 * const record = readRecord(bytes, 0, "log/1.seg");
 */
export function readRecord(bytes: Buffer, offset: number, path: string): ReadRecord | undefined {
    if (bytes.length - offset < HEADER_BYTES) return undefined;
    const header = bytes.subarray(offset, offset + HEADER_BYTES);
    if (crc32(header.subarray(0, HEADER_CHECKSUM_OFFSET)) !== header.readUInt32BE(HEADER_CHECKSUM_OFFSET)) {
        // Some file systems return zeros for blocks that were never written.
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
    return { body, end };
}
