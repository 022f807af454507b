import { HeaderList } from "../../ports/index.js";

/** Hop-by-hop headers, which must not be forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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
 * Removes hop-by-hop headers: the standard ones and those listed in `Connection`.
 *
 * @param headers - The received headers, names in lower case.
 * @param dropped - Further names to remove, in lower case.
 * @returns The remaining headers, in their order.
 * @example
 * const forwarded = endToEndHeaders(req.headers, new Set(["authorization"]));
 */
export function endToEndHeaders(headers: HeaderList, dropped: ReadonlySet<string>): HeaderList {
    const connectionHeaders = headers.filter(([name]) => name === "connection").flatMap(([, value]) =>
        splitList(value)
    );
    return headers.filter(([name]) =>
        !HOP_BY_HOP_HEADERS.has(name) && !dropped.has(name) && !connectionHeaders.includes(name)
    );
}

function splitList(value: string): string[] {
    return value.split(",").map(token => token.trim().toLowerCase());
}
