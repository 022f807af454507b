/**
 * Parses the request rate limit that an upstream states in an answer.
 *
 * @param text - The header's value; undefined when it is missing.
 * @returns Requests per second; undefined without a header, NaN when the value is not a number that is zero or more.
 * @example
 * readRequestLimit("1.3"); // 1.3
 */
export function readRequestLimit(text: string | undefined): number | undefined {
    if (text === undefined) return undefined;
    const limit = text.trim() === "" ? Number.NaN : Number(text);
    return Number.isFinite(limit) && limit >= 0 ? limit : Number.NaN;
}
