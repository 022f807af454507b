const MS_PER_SECOND = 1_000;

/**
 * Parses the `Retry-After` header of an upstream's answer. Dates are not read: an upstream's wall clock may differ from
 * this host's.
 *
 * @param text - The header's value, in seconds; undefined when it is missing.
 * @returns Milliseconds, with fractions of a second; undefined without a header, NaN when the value is not a number that
 * is zero or more.
 * @example
 * readRetryAfter("0.5"); // 500
 */
export function readRetryAfter(text: string | undefined): number | undefined {
    if (text === undefined) return undefined;
    const seconds = text.trim() === "" ? Number.NaN : Number(text);
    return Number.isFinite(seconds) && seconds >= 0 ? MS_PER_SECOND * seconds : Number.NaN;
}
