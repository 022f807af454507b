import * as z from "zod";

/** The entries of a list that conform to a schema. */
export interface ReadEntries<Entry> {
    readonly entries: readonly Entry[];
    /** Number of entries that don't conform. */
    readonly rejected: number;
    /** What is wrong with the first of these. */
    readonly problem?: string;
}

/**
 * Reads a list entry by entry, so that one that can't be used costs no other.
 *
 * @param value - The list as decoded; anything but an array counts as one entry that doesn't conform.
 * @example
 * const { entries, rejected } = readEntries(offerSchema, JSON.parse(text));
 */
export function readEntries<Entry>(schema: z.ZodType<Entry>, value: unknown): ReadEntries<Entry> {
    if (!Array.isArray(value)) return { entries: [], rejected: 1, problem: "not a list" };
    const entries: Entry[] = [];
    let problem: string | undefined;
    for (const item of value) {
        const parsed = schema.safeParse(item);
        if (parsed.success) entries.push(parsed.data);
        else problem ??= describeIssue(parsed.error);
    }
    return { entries, rejected: value.length - entries.length, problem };
}

/** Returns the path and message of the first issue. */
export function describeIssue({ issues: [issue] }: z.ZodError): string {
    return `${issue.path.join(".") || "entry"}: ${issue.message}`;
}
