import { CallRuns, ChatRuns, Runs } from "../../emulator/index.js";
import { digestCall } from "../callService/index.js";
import { RequestResult } from "../requestResult/index.js";
import { Trace, TraceRequest } from "../trace/index.js";

/** Comparison of what the emulated upstreams ran with the results that callers received. */
export interface CrossCheck {
    /** Requests reported as not run that ran, or as answered that did not run; by request id or idempotency key. */
    readonly untruthful: readonly string[];
    /** Idempotency keys of service calls that ran more than once. */
    readonly doubledCalls: readonly string[];
    /** Number of tokens that engines generated and that no answered request delivered. */
    readonly wastedTokens: number;
    /** Number of tokens that engines generated. */
    readonly tokens: number;
}

/**
 * Compares the result of each replayed request with what the emulated upstreams ran.
 *
 * @param trace - Trace that was replayed.
 * @param results - Results of the requests, in the order of the trace.
 * @param runs - Chats and calls that ran since the emulator started.
 */
export function crossCheck(trace: Trace, results: readonly RequestResult[], runs: Runs): CrossCheck {
    const calls = new Map(runs.calls.map(call => [call.digest, call]));
    const chats = new Map(runs.chats.map(chat => [chat.request, chat]));
    const untruthful: string[] = [];
    const doubledCalls: string[] = [];
    results.forEach((result, index) => {
        const request = trace.requests[index];
        const runsOfRequest = findRuns(request, result, calls, chats);
        const name = request.kind === "service" ? request.idempotency_key : result.request ?? "";
        if (isUntruthful(result, runsOfRequest)) untruthful.push(name);
        if (request.kind === "service" && (runsOfRequest?.runs ?? 0) > 1) doubledCalls.push(name);
    });
    const tokens = runs.chats.reduce((sum, chat) => sum + chat.tokens, 0);
    const delivered = results.filter(({ verdict }) => verdict === "answered").reduce((sum, r) => sum + r.tokens, 0);
    return { untruthful, doubledCalls, wastedTokens: tokens - delivered, tokens };
}

function findRuns(
    request: TraceRequest,
    result: RequestResult,
    calls: ReadonlyMap<string, CallRuns>,
    chats: ReadonlyMap<string, Pick<ChatRuns, "runs">>,
): Pick<ChatRuns, "runs"> | undefined {
    return request.kind === "service" ? calls.get(digestCall(request)) : chats.get(result.request ?? "");
}

function isUntruthful(result: RequestResult, runs: Pick<ChatRuns, "runs"> | undefined): boolean {
    if (result.verdict === "refused") return runs !== undefined;
    return result.verdict === "answered" && runs === undefined;
}
