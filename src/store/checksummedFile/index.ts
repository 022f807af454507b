import { crc32 } from "@node-rs/crc32";
import { Disk } from "../../ports/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";
import { StoreError, toStoreError } from "../storeError/index.js";

const CHECKSUM_BYTES = 4;

/**
 * Replaces a file atomically with a value and its checksum, and syncs it.
 *
 * @param disk - Disk that contains the file.
 * @param path - Path of the file.
 * @param value - A value that msgpack can encode.
 * @throws StoreError
 * @example
 * await writeChecksummed(disk, "vote", { term: 3 });
 */
export async function writeChecksummed(disk: Disk, path: string, value: unknown): Promise<void> {
    const body = encodeValue(value);
    const bytes = Buffer.allocUnsafe(CHECKSUM_BYTES + body.length);
    bytes.writeUInt32BE(crc32(body), 0);
    bytes.set(body, CHECKSUM_BYTES);
    try {
        await disk.replace(path, bytes);
    }
    catch (err) {
        throw toStoreError(err);
    }
}

/**
 * Reads a file written by `writeChecksummed`.
 *
 * @param disk - Disk that contains the file.
 * @param path - Path of the file.
 * @returns The value, or undefined when the file does not exist.
 * @throws StoreError with `damaged` when the checksum does not match.
 * @example
 * const vote = await readChecksummed(disk, "vote");
 */
export async function readChecksummed(disk: Disk, path: string): Promise<unknown> {
    const bytes = await disk.read(path).catch(err => {
        throw toStoreError(err);
    });
    if (!bytes) return undefined;
    const body = bytes.subarray(CHECKSUM_BYTES);
    if (bytes.length < CHECKSUM_BYTES || Buffer.from(bytes).readUInt32BE(0) !== crc32(body)) {
        throw new StoreError("damaged", `${path} does not fit its checksum`);
    }
    return decodeValue(body);
}
