import { CallRuns, ChatRuns, Runs } from "../../emulator/index.js";
import { RequestResult } from "../outcome/index.js";
import { digestCall } from "../serviceCall/index.js";
import { Trace, TraceRequest } from "../trace/index.js";

/** What the stand-ins ran, held against what callers were told. */
export interface CrossCheck {
    /** Requests told "not run" that ran, and requests told "answered" that did not; by request id or idempotency key. */
    readonly untruthful: readonly string[];
    /** Service calls that ran more than once, by idempotency key. */
    readonly doubledCalls: readonly string[];
    /** Tokens that engines gave and no caller got in an answered request. */
    readonly wastedTokens: number;
    /** Tokens that engines gave. */
    readonly tokens: number;
}

/**
 * Holds each outcome of a replay against what ran.
 *
 * @param trace - What was replayed.
 * @param results - What the requests came to, in the order of the trace.
 * @param runs - What ran since the stand-ins started.
 */
export function crossCheck(trace: Trace, results: readonly RequestResult[], runs: Runs): CrossCheck {
    const calls = new Map(runs.calls.map(call => [call.digest, call]));
    const chats = new Map(runs.chats.map(chat => [chat.request, chat]));
    const untruthful: string[] = [];
    const doubledCalls: string[] = [];
    results.forEach((result, index) => {
        const request = trace.requests[index];
        const ran = findRun(request, result, calls, chats);
        const name = request.kind === "service" ? request.idempotency_key : result.request ?? "";
        if (isUntruthful(result, ran)) untruthful.push(name);
        if (request.kind === "service" && (ran?.runs ?? 0) > 1) doubledCalls.push(name);
    });
    const tokens = runs.chats.reduce((sum, chat) => sum + chat.tokens, 0);
    const delivered = results.filter(({ verdict }) => verdict === "answered").reduce((sum, r) => sum + r.tokens, 0);
    return { untruthful, doubledCalls, wastedTokens: tokens - delivered, tokens };
}

function findRun(
    request: TraceRequest,
    result: RequestResult,
    calls: ReadonlyMap<string, CallRuns>,
    chats: ReadonlyMap<string, ChatRuns>,
): CallRuns | ChatRuns | undefined {
    return request.kind === "service" ? calls.get(digestCall(request)) : chats.get(result.request ?? "");
}

function isUntruthful(result: RequestResult, ran: CallRuns | ChatRuns | undefined): boolean {
    if (result.verdict === "refused") return ran !== undefined;
    return result.verdict === "answered" && ran === undefined;
}
