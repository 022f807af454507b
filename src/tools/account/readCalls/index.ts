import * as z from "zod";

/** What a log line says of a call that has ended; times in milliseconds. */
const endedSchema = z.looseObject({
    event: z.literal("call-ended"),
    time: z.string(),
    request: z.string(),
    route: z.string(),
    outcome: z.string(),
    ms: z.number(),
    /** From the call's arrival to its first byte. */
    firstMs: z.number().optional(),
    /** The longest pause between two events. */
    gapMs: z.number().default(0),
    events: z.number().default(0),
    upstream: z.string().optional(),
    waitedMs: z.number().default(0),
    targetMs: z.number().optional(),
    gapBoundMs: z.number().optional(),
    reason: z.string().default(""),
});

/** A call that has ended, as an entry's log tells of it; times in milliseconds. */
export interface LoggedCall {
    readonly request: string;
    readonly route: string;
    readonly outcome: string;
    /** Wall time of its arrival, since the epoch. */
    readonly startedAt: number;
    readonly waitedMs: number;
    readonly firstMs: number | undefined;
    readonly gapMs: number;
    readonly events: number;
    readonly upstream: string | undefined;
    /** The first byte came later than the route's target. */
    readonly isFirstLate: boolean;
    /** A pause was longer than the route allows. */
    readonly isGapLate: boolean;
    /** Prompt tokens, and those of them that the upstream was thought to hold. */
    readonly promptTokens: number;
    readonly heldTokens: number;
    /** Requests that ran at the upstream when this one was granted. */
    readonly running: number;
}

const CHOICE_PATTERN = /(\d+) of (\d+) tokens held, (\d+) running/;

/**
 * Reads the calls that have ended from lines of entries' logs. Other lines, and text before a line's JSON, are passed over.
 *
 * @example
 * const calls = readCalls(text.split("\n"));
 */
export function readCalls(lines: Iterable<string>): LoggedCall[] {
    const calls: LoggedCall[] = [];
    for (const line of lines) {
        const call = readCall(line);
        if (call) calls.push(call);
    }
    return calls;
}

function readCall(line: string): LoggedCall | undefined {
    const start = line.indexOf("{");
    if (start < 0 || !line.includes("\"call-ended\"")) return undefined;
    const parsed = endedSchema.safeParse(parseJson(line.slice(start)));
    if (!parsed.success) return undefined;
    const { time, ms, targetMs, gapBoundMs, reason, firstMs, gapMs, ...rest } = parsed.data;
    const [, held, prompt, running] = CHOICE_PATTERN.exec(reason) ?? [];
    return {
        request: rest.request,
        route: rest.route,
        outcome: rest.outcome,
        waitedMs: rest.waitedMs,
        events: rest.events,
        upstream: rest.upstream,
        firstMs,
        gapMs,
        startedAt: Date.parse(time) - ms,
        isFirstLate: firstMs !== undefined && targetMs !== undefined && firstMs > targetMs,
        isGapLate: gapBoundMs !== undefined && gapMs > gapBoundMs,
        promptTokens: Number(prompt ?? 0),
        heldTokens: Number(held ?? 0),
        running: Number(running ?? 0),
    };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // A line that was cut off, as at the end of a log that is still written.
        return undefined;
    }
}
