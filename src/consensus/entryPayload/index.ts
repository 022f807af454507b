import { decodeValue, encodeValue } from "../../wire/index.js";
import { Configuration } from "../member/index.js";

/**
 * Newest entry version that this program can read. Raised when older programs can't read a new kind of entry; optional
 * fields may be added without raising it.
 */
const SUPPORTED_ENTRY_VERSION = 4;
/** Version that every program can read. Used for entries that require no newer one. */
const BASE_ENTRY_VERSION = 1;

/**
 * Content of an entry. It is sent and stored as the bytes that its proposer encoded, so a replica of an older version
 * preserves fields that it does not know.
 */
export type EntryPayload =
    /** A command for the state machine. `at` is the proposer's wall-clock time, in milliseconds since the epoch. */
    | { readonly kind: "command"; readonly command: unknown; readonly at: number; }
    /** A new configuration of the cluster. */
    | { readonly kind: "members"; readonly configuration: Configuration; }
    /** First entry of a leader's term. */
    | { readonly kind: "term-start"; };

/** Thrown for an entry that requires a newer version of the program. */
export class EntryVersionError extends Error {
    constructor(readonly version: number) {
        super(`an entry needs version ${version}; this program knows ${SUPPORTED_ENTRY_VERSION}`);
    }
}

/**
 * Encodes an entry's payload.
 *
 * @param version - Lowest program version that can read the entry. The default keeps entries readable by all replicas
 * while a new version is rolled out.
 */
export function encodePayload(payload: EntryPayload, version = BASE_ENTRY_VERSION): Uint8Array {
    return encodeValue({ version, ...payload });
}

/**
 * Decodes an entry's payload.
 *
 * Prevents replicas from diverging during a rolling restart, when a leader of a newer version may append an entry that
 * an older replica can't apply. Skipping it would make the states differ permanently without any sign, so the older
 * replica stops.
 *
 * @throws EntryVersionError
 */
export function decodePayload(bytes: Uint8Array): EntryPayload {
    const payload = decodeValue(bytes) as EntryPayload & { readonly version: number; };
    if (payload.version > SUPPORTED_ENTRY_VERSION) throw new EntryVersionError(payload.version);
    return payload;
}
