import { HeaderList } from "../http/index.js";

/** Returns Node's flat list of raw headers as pairs, with names in lower case. */
export function toHeaderList(rawHeaders: readonly string[]): HeaderList {
    const pairs: [string, string][] = [];
    for (let i = 0; i < rawHeaders.length; i += 2) pairs.push([rawHeaders[i].toLowerCase(), rawHeaders[i + 1]]);
    return pairs;
}
