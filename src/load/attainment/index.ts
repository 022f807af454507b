import { RequestResult, Verdict } from "../outcome/index.js";
import { Spread, spreadOf } from "../spread/index.js";
import { Trace, TraceClass } from "../trace/index.js";

/** How many requests came to what. */
export type VerdictCounts = Readonly<Record<Verdict, number>>;

/** What one class's or one workspace's requests came to. */
export interface GroupReport {
    readonly name: string;
    readonly sent: number;
    readonly verdicts: VerdictCounts;
    /** The share of requests answered whole within target; those whose callers left do not count. */
    readonly attainment: number;
    /** Of streams and service calls; an answer in one body has no first token of its own. */
    readonly firstToken: Spread;
    readonly tokenGap: Spread;
    readonly total: Spread;
    readonly tokens: number;
}

/** What a replay came to. */
export interface ReplayReport {
    readonly trace: string;
    readonly sent: number;
    readonly answered: number;
    readonly refused: number;
    readonly failed: number;
    readonly left: number;
    readonly lost: number;
    readonly doubled: number;
    /** Attempts beyond the first of each request. */
    readonly repeats: number;
    /** From the first request to the last word, in milliseconds. */
    readonly durationMs: number;
    /** Tokens, and requests, a second that were answered within target. */
    readonly goodputTokens: number;
    readonly goodputRequests: number;
    readonly classes: readonly GroupReport[];
    readonly workspaces: readonly GroupReport[];
    /** How many requests were refused, failed or lost for what reason. */
    readonly reasons: Readonly<Record<string, number>>;
    /** What the trace's header demands and the replay did not meet, in words. */
    readonly missed: readonly string[];
}

const VERDICTS: readonly Verdict[] = ["answered", "refused", "failed", "left", "lost", "doubled"];
const MS_PER_SECOND = 1_000;

/**
 * Whether an answer came whole and within its class's targets. One that comes as a single body has the time that a
 * stream within both targets would take.
 *
 * @param result - What a request came to.
 * @param target - Its class.
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
 * Sums a replay up and holds it against the trace's bounds.
 *
 * @param trace - What was replayed.
 * @param results - What the requests came to.
 * @param durationMs - How long it took, in milliseconds.
 */
export function summarizeReplay(trace: Trace, results: readonly RequestResult[], durationMs: number): ReplayReport {
    const targets = new Map(trace.header.classes.map(target => [target.name, target]));
    const isGood = (result: RequestResult): boolean => isWithinTarget(result, targets.get(result.className)!);
    const good = results.filter(isGood);
    const counts = countVerdicts(results);
    const seconds = Math.max(durationMs, 1) / MS_PER_SECOND;
    const classes = groupBy(results, result => result.className, isGood);
    const workspaces = groupBy(results, result => result.workspace, isGood);
    return {
        trace: trace.header.name,
        sent: results.length,
        ...counts,
        repeats: results.reduce((sum, result) => sum + result.attempts - 1, 0),
        durationMs,
        goodputTokens: good.reduce((sum, result) => sum + result.tokens, 0) / seconds,
        goodputRequests: good.length / seconds,
        classes,
        workspaces,
        reasons: countReasons(results),
        missed: findMissed(trace, counts, classes, workspaces),
    };
}

function groupBy(
    results: readonly RequestResult[],
    nameOf: (result: RequestResult) => string,
    isGood: (result: RequestResult) => boolean,
): GroupReport[] {
    const names = [...new Set(results.map(nameOf))].sort();
    return names.map(name => summarizeGroup(name, results.filter(result => nameOf(result) === name), isGood));
}

function summarizeGroup(
    name: string,
    results: readonly RequestResult[],
    isGood: (result: RequestResult) => boolean,
): GroupReport {
    const counted = results.filter(result => result.verdict !== "left");
    return {
        name,
        sent: results.length,
        verdicts: countVerdicts(results),
        attainment: counted.length === 0 ? 1 : counted.filter(isGood).length / counted.length,
        firstToken: spreadOf(
            results.filter(result => result.isStreamed || result.kind === "service").map(result => result.firstTokenMs),
        ),
        tokenGap: spreadOf(results.map(result => result.tokenMs)),
        total: spreadOf(results.filter(result => result.verdict === "answered").map(result => result.totalMs)),
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

function findMissed(
    { header: { bounds } }: Trace,
    counts: VerdictCounts,
    classes: readonly GroupReport[],
    workspaces: readonly GroupReport[],
): string[] {
    const missed: string[] = [];
    if (counts.lost > bounds.lost) missed.push(`lost ${counts.lost}, at most ${bounds.lost}`);
    if (counts.doubled > bounds.doubled) missed.push(`doubled ${counts.doubled}, at most ${bounds.doubled}`);
    for (const { name, attainment } of classes) {
        const least = bounds.attainment[name] ?? 0;
        if (attainment < least) missed.push(`class ${name}: attainment ${attainment.toFixed(3)}, at least ${least}`);
    }
    for (const { name, attainment } of workspaces) {
        if (attainment >= bounds.worst_workspace) continue;
        missed.push(`workspace ${name}: attainment ${attainment.toFixed(3)}, at least ${bounds.worst_workspace}`);
    }
    return missed;
}
