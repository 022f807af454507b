import { CALL_HEADERS } from "../../../passthrough/index.js";

/** What one connection of a crowd sends, in order. */
export type CrowdBytes = Iterable<Buffer>;

/** A request of a crowd. */
export interface CrowdRequest {
    readonly path: string;
    readonly host: string;
    /** Further headers. */
    readonly headers?: Readonly<Record<string, string>>;
    /** Size of the body, in bytes. */
    readonly bodyBytes: number;
    /** How many bytes of the body are never sent; 0 by default. */
    readonly missingBytes?: number;
}

const PART_BYTES = 64 * 1024;
const FILLER = Buffer.alloc(PART_BYTES, "x");
const CHUNK_END = "\r\n";
const LAST_CHUNK = "0\r\n\r\n";

/** A request whose length is announced in its head. */
export function* sendWithLength(request: CrowdRequest, id: string): CrowdBytes {
    yield formatHead(request, id, { "content-length": String(request.bodyBytes) });
    yield* fill(request.bodyBytes - (request.missingBytes ?? 0));
}

/**
 * A request with a body in chunks. One with missing bytes lacks the last chunk, too.
 *
 * @param chunkBytes - Size of each chunk, in bytes.
 */
export function* sendInChunks(request: CrowdRequest, id: string, chunkBytes: number): CrowdBytes {
    yield formatHead(request, id, { "transfer-encoding": "chunked" });
    const { bodyBytes, missingBytes = 0 } = request;
    const chunk = Buffer.from(`${chunkBytes.toString(16)}${CHUNK_END}${"x".repeat(chunkBytes)}${CHUNK_END}`);
    const chunksPerPart = Math.max(1, Math.floor(PART_BYTES / chunk.length));
    const part = Buffer.concat(Array.from({ length: chunksPerPart }, () => chunk));
    let chunksLeft = Math.floor((bodyBytes - missingBytes) / chunkBytes);
    while (chunksLeft > 0) {
        const count = Math.min(chunksLeft, chunksPerPart);
        yield part.subarray(0, count * chunk.length);
        chunksLeft -= count;
    }
    if (missingBytes === 0) yield Buffer.from(LAST_CHUNK);
}

/** Several requests on one connection, sent without waiting for an answer. */
export function* sendPipelined(request: CrowdRequest, id: string, count: number): CrowdBytes {
    for (let number = 0; number < count; number++) yield* sendWithLength(request, `${id}-${number}`);
}

/** A connection on which a head begins and never ends. */
export function* sendEndlessHead({ path, host }: CrowdRequest, headBytes: number): CrowdBytes {
    const start = `POST ${path} HTTP/1.1\r\nhost: ${host}\r\n`;
    yield Buffer.from(`${start}x-filler: ${"x".repeat(headBytes - start.length)}`);
}

/** A connection on which nothing is sent. */
export function* sendNothing(): CrowdBytes {
    // Only its connection counts.
}

function formatHead({ path, host, headers }: CrowdRequest, id: string, framing: Record<string, string>): Buffer {
    const fields = Object.entries({ host, [CALL_HEADERS.request]: id, ...headers, ...framing });
    const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return Buffer.from(`POST ${path} HTTP/1.1\r\n${lines}\r\n`);
}

function* fill(bytes: number): CrowdBytes {
    for (let left = bytes; left > 0; left -= PART_BYTES) yield FILLER.subarray(0, Math.min(left, PART_BYTES));
}
