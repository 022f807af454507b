import { HeaderList } from "../../ports/index.js";

/** Headers that concern one connection, and must not be passed on. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

/**
 * Leaves out what concerns one connection: the headers that always do, and those that `Connection` names.
 *
 * @param headers - As they came, names in lower case.
 * @param dropped - Further names to leave out, in lower case.
 * @example
 * const forwarded = endToEndHeaders(req.headers, new Set(["authorization"]));
 */
export function endToEndHeaders(headers: HeaderList, dropped: ReadonlySet<string>): HeaderList {
    const named = headers.filter(([name]) => name === "connection").flatMap(([, value]) => splitTokens(value));
    return headers.filter(([name]) => !HOP_BY_HOP.has(name) && !dropped.has(name) && !named.includes(name));
}

function splitTokens(value: string): string[] {
    return value.split(",").map(token => token.trim().toLowerCase());
}
