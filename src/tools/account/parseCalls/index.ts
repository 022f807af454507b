import * as z from "zod";

/** Fields of the log line of an ended call; times in milliseconds. */
const callEndedSchema = z.looseObject({
    event: z.literal("call-ended"),
    time: z.string(),
    request: z.string(),
    route: z.string(),
    outcome: z.string(),
    ms: z.number(),
    /** Time from the call's arrival to the first byte of its answer. */
    firstMs: z.number().optional(),
    /** Longest pause between two events of the answer. */
    gapMs: z.number().default(0),
    events: z.number().default(0),
    upstream: z.string().optional(),
    waitedMs: z.number().default(0),
    targetMs: z.number().optional(),
    gapBoundMs: z.number().optional(),
    reason: z.string().default(""),
});

/** An ended call, parsed from an entry's log; times in milliseconds. */
export interface LoggedCall {
    readonly request: string;
    readonly route: string;
    readonly outcome: string;
    /** Time of arrival, in milliseconds since the epoch. */
    readonly startedAt: number;
    readonly waitedMs: number;
    readonly firstMs: number | undefined;
    readonly gapMs: number;
    readonly events: number;
    readonly upstream: string | undefined;
    /** Whether the first byte came after the route's target. */
    readonly isFirstByteLate: boolean;
    /** Whether a pause was longer than the route's bound. */
    readonly hasLongPause: boolean;
    readonly promptTokens: number;
    /** Prompt tokens that the router expected in the upstream's prefix cache. */
    readonly cachedTokens: number;
    /** Number of requests running at the upstream when this call was granted. */
    readonly running: number;
}

const CHOICE_REASON_PATTERN = /(\d+) of (\d+) tokens held, (\d+) running/;

/**
 * Parses the ended calls from lines of entries' logs. Skips other lines, and any text before a line's JSON.
 *
 * @example
 * const calls = parseCalls(text.split("\n"));
 */
export function parseCalls(lines: Iterable<string>): LoggedCall[] {
    const calls: LoggedCall[] = [];
    for (const line of lines) {
        const call = parseCall(line);
        if (call) calls.push(call);
    }
    return calls;
}

function parseCall(line: string): LoggedCall | undefined {
    const start = line.indexOf("{");
    if (start < 0 || !line.includes("\"call-ended\"")) return undefined;
    const parsed = callEndedSchema.safeParse(parseJson(line.slice(start)));
    if (!parsed.success) return undefined;
    const { time, ms, targetMs, gapBoundMs, reason, firstMs, gapMs, ...rest } = parsed.data;
    const [, held, prompt, running] = CHOICE_REASON_PATTERN.exec(reason) ?? [];
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
        isFirstByteLate: firstMs !== undefined && targetMs !== undefined && firstMs > targetMs,
        hasLongPause: gapBoundMs !== undefined && gapMs > gapBoundMs,
        promptTokens: Number(prompt ?? 0),
        cachedTokens: Number(held ?? 0),
        running: Number(running ?? 0),
    };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        // The line is truncated, as the last line of a log that is still being written may be.
        return undefined;
    }
}
