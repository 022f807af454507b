import { formatAddress } from "../../ports/index.js";
import { FencedCall, FencedReply } from "../fencedSender/index.js";

const HEAD_END = "\r\n\r\n";
const LINE_END = "\r\n";

/** Formats a POST request with a JSON body and `connection: close`. */
export function formatPost({ address, path, headers = [], body }: FencedCall): Uint8Array {
    const json = Buffer.from(JSON.stringify(body));
    const head = [
        `POST ${path} HTTP/1.1`,
        `host: ${formatAddress(address)}`,
        "content-type: application/json",
        `content-length: ${json.length}`,
        "connection: close",
        ...headers.map(([name, value]) => `${name}: ${value}`),
    ].join(LINE_END);
    return Buffer.concat([Buffer.from(head + HEAD_END, "latin1"), json]);
}

/**
 * Parses an HTTP response from the bytes received so far.
 *
 * @param bytes - All bytes received so far.
 * @param isEnded - The peer has closed the connection; no more bytes follow.
 * @returns The response once it is complete, else undefined.
 * @throws Error when the bytes are not an HTTP response.
 */
export function parseReply(bytes: Buffer, isEnded: boolean): FencedReply | undefined {
    const headEnd = bytes.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const [statusLine, ...lines] = bytes.toString("latin1", 0, headEnd).split(LINE_END);
    const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(statusLine)?.[1]);
    if (!status) throw new Error("HTTP response has no status line");
    const headers = new Map(lines.map(splitHeader));
    const body = readBody(bytes.subarray(headEnd + HEAD_END.length), headers, status, isEnded);
    if (body === undefined) return undefined;
    const retryAfterSeconds = Number(headers.get("retry-after"));
    const retryAfter = retryAfterSeconds > 0 ? { retryAfterMs: retryAfterSeconds * 1_000 } : {};
    return { status, body: parseJson(body), ...retryAfter };
}

function readBody(
    payload: Buffer,
    headers: ReadonlyMap<string, string>,
    status: number,
    isEnded: boolean,
): Buffer | undefined {
    if (status === 204 || status === 304) return payload.subarray(0, 0);
    if (headers.get("transfer-encoding")?.toLowerCase() === "chunked") return joinChunks(payload);
    const length = headers.get("content-length");
    if (length === undefined) return isEnded ? payload : undefined;
    return payload.length >= Number(length) ? payload.subarray(0, Number(length)) : undefined;
}

function joinChunks(payload: Buffer): Buffer | undefined {
    const chunks: Buffer[] = [];
    let offset = 0;
    for (;;) {
        const lineEnd = payload.indexOf(LINE_END, offset);
        if (lineEnd < 0) return undefined;
        const size = parseInt(payload.toString("latin1", offset, lineEnd), 16);
        if (Number.isNaN(size)) throw new Error("HTTP response has an invalid chunk size");
        const start = lineEnd + LINE_END.length;
        if (size === 0) return Buffer.concat(chunks);
        if (payload.length < start + size + LINE_END.length) return undefined;
        chunks.push(payload.subarray(start, start + size));
        offset = start + size + LINE_END.length;
    }
}

function splitHeader(line: string): [string, string] {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString());
    }
    catch {
        // The holder acts on the status; a body that is not JSON is ignored.
        return undefined;
    }
}
