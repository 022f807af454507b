import { formatAddress } from "../../ports/index.js";
import { FencedCall } from "../fencedSender/index.js";

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
