import { crc32 } from "@node-rs/crc32";
import { Disk } from "../../ports/index.js";
import { decodeValue, encodeValue } from "../../wire/index.js";
import { StoreError, turnDiskError } from "../storeError/index.js";

const CHECKSUM_BYTES = 4;

/**
 * Replaces a file by a value with its checksum, as a whole and synced.
 *
 * @param disk - Where.
 * @param path - The file.
 * @param value - A value msgpack can carry.
 * @throws StoreError
 * @example
 * await replaceChecked(disk, "vote", { term: 3 });
 */
export async function replaceChecked(disk: Disk, path: string, value: unknown): Promise<void> {
    const body = encodeValue(value);
    const bytes = Buffer.allocUnsafe(CHECKSUM_BYTES + body.length);
    bytes.writeUInt32BE(crc32(body), 0);
    bytes.set(body, CHECKSUM_BYTES);
    try {
        await disk.replace(path, bytes);
    }
    catch (err) {
        throw turnDiskError(err);
    }
}

/**
 * Reads a file that `replaceChecked` wrote.
 *
 * @param disk - Where.
 * @param path - The file.
 * @returns The value, or undefined when there is no such file.
 * @throws StoreError with `damaged` when the checksum does not fit.
 * @example
 * const vote = await readChecked(disk, "vote");
 */
export async function readChecked(disk: Disk, path: string): Promise<unknown> {
    const bytes = await disk.read(path).catch(err => {
        throw turnDiskError(err);
    });
    if (!bytes) return undefined;
    const body = bytes.subarray(CHECKSUM_BYTES);
    if (bytes.length < CHECKSUM_BYTES || Buffer.from(bytes).readUInt32BE(0) !== crc32(body)) {
        throw new StoreError("damaged", `${path} does not fit its checksum`);
    }
    return decodeValue(body);
}
