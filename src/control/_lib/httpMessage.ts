import { formatAddress } from "../../ports/index.js";
import { FencedCall, FencedReply } from "../fencedSender/index.js";

const HEAD_END = "\r\n\r\n";
const LINE_END = "\r\n";

/** Writes a POST that asks for the connection to be closed after the answer. */
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
 * Reads an answer, as far as it has come.
 *
 * @param bytes - All bytes up to now.
 * @param ended - No more will come.
 * @returns The answer once it is whole, else undefined.
 * @throws Error when the bytes are no HTTP answer.
 */
export function parseReply(bytes: Buffer, ended: boolean): FencedReply | undefined {
    const headEnd = bytes.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const [statusLine, ...lines] = bytes.toString("latin1", 0, headEnd).split(LINE_END);
    const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(statusLine)?.[1]);
    if (!status) throw new Error("no status line");
    const headers = new Map(lines.map(splitHeader));
    const body = readBody(bytes.subarray(headEnd + HEAD_END.length), headers, status, ended);
    if (body === undefined) return undefined;
    const retryAfterSeconds = Number(headers.get("retry-after"));
    const retryAfter = retryAfterSeconds > 0 ? { retryAfterMs: retryAfterSeconds * 1_000 } : {};
    return { status, body: parseJson(body), ...retryAfter };
}

function readBody(
    rest: Buffer,
    headers: ReadonlyMap<string, string>,
    status: number,
    ended: boolean,
): Buffer | undefined {
    if (status === 204 || status === 304) return rest.subarray(0, 0);
    if (headers.get("transfer-encoding")?.toLowerCase() === "chunked") return joinChunks(rest);
    const length = headers.get("content-length");
    if (length === undefined) return ended ? rest : undefined;
    return rest.length >= Number(length) ? rest.subarray(0, Number(length)) : undefined;
}

function joinChunks(rest: Buffer): Buffer | undefined {
    const chunks: Buffer[] = [];
    let at = 0;
    for (;;) {
        const lineEnd = rest.indexOf(LINE_END, at);
        if (lineEnd < 0) return undefined;
        const size = parseInt(rest.toString("latin1", at, lineEnd), 16);
        if (Number.isNaN(size)) throw new Error("no chunk size");
        const start = lineEnd + LINE_END.length;
        if (size === 0) return Buffer.concat(chunks);
        if (rest.length < start + size + LINE_END.length) return undefined;
        chunks.push(rest.subarray(start, start + size));
        at = start + size + LINE_END.length;
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
        // A body that is not JSON carries nothing that the holder acts on; the status does.
        return undefined;
    }
}
