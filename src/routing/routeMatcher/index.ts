import { decodeHeaderText } from "../../ports/index.js";
import { Route } from "../fleetDocument/index.js";

const NON_ASCII_PATTERN = /[^\x00-\x7f]+/g;
const ESCAPED_BYTE_PATTERN = /%[0-9a-f]{2}/gi;

/**
 * Compares paths with the prefix of a route. Where the prefix has letters beyond ASCII, callers may send their bytes as they are, or
 * percent-encoded.
 *
 * @example
 * new RouteMatcher(route).matches("/caf%c3%a9/1");
 */
export class RouteMatcher {
    /** The prefix, percent-encoded; undefined where it is ASCII, and compared as it is. */
    private readonly encodedPrefix: string | undefined;

    constructor(readonly route: Route) {
        const encoded = encodePath(route.pathPrefix);
        this.encodedPrefix = encoded === route.pathPrefix ? undefined : encoded;
    }

    /** Length of the prefix as it is sent. */
    get length(): number {
        return (this.encodedPrefix ?? this.route.pathPrefix).length;
    }

    /** @param path - A path without its query, as it was sent. */
    matches(path: string): boolean {
        const { encodedPrefix } = this;
        if (encodedPrefix === undefined) return path.startsWith(this.route.pathPrefix);
        return unifyEscapes(encodePath(decodeHeaderText(path))).startsWith(unifyEscapes(encodedPrefix));
    }
}

function encodePath(path: string): string {
    return path.replace(NON_ASCII_PATTERN, text => encodeURIComponent(Buffer.from(text).toString()));
}

/** Writes the digits of percent-encoded bytes in upper case. */
function unifyEscapes(path: string): string {
    return path.replace(ESCAPED_BYTE_PATTERN, escape => escape.toUpperCase());
}
