import { computePercentiles, Percentiles } from "../computePercentiles/index.js";
import { RequestResult, Verdict } from "../requestResult/index.js";
import { Trace, TraceClass } from "../trace/index.js";

/** Number of requests by verdict. */
export type VerdictCounts = Readonly<Record<Verdict, number>>;

/** Results of the requests of one class or one workspace; times in milliseconds. */
export interface GroupReport {
    readonly name: string;
    readonly sent: number;
    readonly verdicts: VerdictCounts;
    /** Share of requests answered completely within target; requests whose callers left are not counted. */
    readonly attainment: number;
    /** Time to the first token of streams and to the answer of service calls; a non-streamed chat answer has no first token. */
    readonly firstToken: Percentiles;
    /** Mean time between the tokens of a stream. */
    readonly tokenGap: Percentiles;
    /** Time to the complete answer, of answered requests. */
    readonly total: Percentiles;
    readonly tokens: number;
}

/** Results of a replay. */
export interface ReplayReport {
    readonly trace: string;
    readonly sent: number;
    readonly answered: number;
    readonly refused: number;
    readonly failed: number;
    readonly left: number;
    readonly lost: number;
    readonly doubled: number;
    /** Number of attempts beyond the first of each request. */
    readonly repeats: number;
    /** Time from the start of the replay to the end of the last request, in milliseconds. */
    readonly durationMs: number;
    /** Tokens per second of the requests answered within target. */
    readonly goodputTokens: number;
    /** Requests per second answered within target. */
    readonly goodputRequests: number;
    readonly classes: readonly GroupReport[];
    readonly workspaces: readonly GroupReport[];
    /** Number of requests that were not answered, by verdict and reason. */
    readonly reasons: Readonly<Record<string, number>>;
    /** Descriptions of the bounds in the trace's header that the replay did not meet. */
    readonly missed: readonly string[];
}

const VERDICTS: readonly Verdict[] = ["answered", "refused", "failed", "left", "lost", "doubled"];
const MS_PER_SECOND = 1_000;

/**
 * Whether a request was answered completely and within the targets of its class. A non-streamed answer may take as long as
 * a stream that just meets both targets.
 *
 * @param result - Result of the request.
 * @param target - Class of the request.
 */
export function isWithinTarget(result: RequestResult, target: TraceClass): boolean {
    if (result.verdict !== "answered" || result.firstTokenMs === undefined) return false;
    if (result.isStreamed) {
        return result.firstTokenMs <= target.first_token_ms && (result.tokenMs ?? 0) <= target.token_ms;
    }
    const furtherTokens = Math.max(0, result.tokens - 1);
    return result.firstTokenMs <= target.first_token_ms + furtherTokens * target.token_ms;
}

/**
 * Summarizes the results of a replay and compares them with the trace's bounds.
 *
 * @param trace - Trace that was replayed.
 * @param results - Results of the requests.
 * @param durationMs - Duration of the replay, in milliseconds.
 */
export function summarizeReplay(trace: Trace, results: readonly RequestResult[], durationMs: number): ReplayReport {
    const targets = new Map(trace.header.classes.map(target => [target.name, target]));
    const isAttained = (result: RequestResult): boolean => isWithinTarget(result, targets.get(result.className)!);
    const attained = results.filter(isAttained);
    const counts = countVerdicts(results);
    const seconds = Math.max(durationMs, 1) / MS_PER_SECOND;
    const classes = summarizeGroups(results, result => result.className, isAttained);
    const workspaces = summarizeGroups(results, result => result.workspace, isAttained);
    return {
        trace: trace.header.name,
        sent: results.length,
        ...counts,
        repeats: results.reduce((sum, result) => sum + result.attempts - 1, 0),
        durationMs,
        goodputTokens: attained.reduce((sum, result) => sum + result.tokens, 0) / seconds,
        goodputRequests: attained.length / seconds,
        classes,
        workspaces,
        reasons: countReasons(results),
        missed: findMissedBounds(trace, counts, classes, workspaces),
    };
}

function summarizeGroups(
    results: readonly RequestResult[],
    nameOf: (result: RequestResult) => string,
    isAttained: (result: RequestResult) => boolean,
): GroupReport[] {
    const names = [...new Set(results.map(nameOf))].sort();
    return names.map(name => summarizeGroup(name, results.filter(result => nameOf(result) === name), isAttained));
}

function summarizeGroup(
    name: string,
    results: readonly RequestResult[],
    isAttained: (result: RequestResult) => boolean,
): GroupReport {
    const eligible = results.filter(result => result.verdict !== "left");
    return {
        name,
        sent: results.length,
        verdicts: countVerdicts(results),
        attainment: eligible.length === 0 ? 1 : eligible.filter(isAttained).length / eligible.length,
        firstToken: computePercentiles(
            results.filter(result => result.isStreamed || result.kind === "service").map(result => result.firstTokenMs),
        ),
        tokenGap: computePercentiles(results.map(result => result.tokenMs)),
        total: computePercentiles(
            results.filter(result => result.verdict === "answered").map(result => result.totalMs),
        ),
        tokens: results.reduce((sum, result) => sum + result.tokens, 0),
    };
}

function countVerdicts(results: readonly RequestResult[]): VerdictCounts {
    const count = (verdict: Verdict): [Verdict, number] => [
        verdict,
        results.filter(result => result.verdict === verdict).length,
    ];
    return Object.fromEntries(VERDICTS.map(count)) as VerdictCounts;
}

function countReasons(results: readonly RequestResult[]): Record<string, number> {
    const reasons: Record<string, number> = {};
    for (const { verdict, reason } of results) {
        if (reason === undefined) continue;
        const name = `${verdict}: ${reason}`;
        reasons[name] = (reasons[name] ?? 0) + 1;
    }
    return reasons;
}

function findMissedBounds(
    { header: { bounds } }: Trace,
    counts: VerdictCounts,
    classes: readonly GroupReport[],
    workspaces: readonly GroupReport[],
): string[] {
    const missed: string[] = [];
    if (counts.lost > bounds.lost) missed.push(`lost ${counts.lost}, at most ${bounds.lost}`);
    if (counts.doubled > bounds.doubled) missed.push(`doubled ${counts.doubled}, at most ${bounds.doubled}`);
    for (const { name, attainment } of classes) {
        const bound = bounds.attainment[name] ?? 0;
        if (attainment < bound) missed.push(`class ${name}: attainment ${attainment.toFixed(3)}, at least ${bound}`);
    }
    for (const { name, attainment } of workspaces) {
        if (attainment >= bounds.worst_workspace) continue;
        missed.push(`workspace ${name}: attainment ${attainment.toFixed(3)}, at least ${bounds.worst_workspace}`);
    }
    return missed;
}
