import { Outcome } from "../../protocol/index.js";

/**
 * Result of a replayed request, as its caller sees it.
 * - `answered`: the answer is complete and equals the expected one.
 * - `refused`: the system reported that the request was not run.
 * - `failed`: the system reported that the request ran in part or may have run, or the upstream itself answered with an error.
 * - `left`: the caller disconnected, as the trace specifies.
 * - `lost`: no truthful final answer: the connection broke, nothing arrived in time, or the answer was wrong.
 * - `doubled`: the request ran more than once, or a token arrived twice.
 */
export type Verdict = "answered" | "refused" | "failed" | "left" | "lost" | "doubled";

/** Result of one attempt to send a request. */
export interface AttemptResult {
    readonly verdict: Verdict;
    /** Machine-readable reason: the type of the error, or the cause of the loss. */
    readonly reason?: string;
    /** Outcome that the error reports. */
    readonly reportedOutcome?: Outcome;
    /** Delay after which the system asks to retry, in milliseconds. */
    readonly retryAfterMs?: number;
    /** Whether the request never left the caller, as when the connection is refused, so that another address may be tried. */
    readonly isUnreachable?: boolean;
    /** Arrival time of each token, or of a service's answer, in milliseconds on the monotonic clock. */
    readonly tokenTimes: readonly number[];
    /** Id of the request, if the response contains one. */
    readonly request?: string;
}

/** Result of a request over all attempts. */
export interface RequestResult {
    readonly workspace: string;
    readonly className: string;
    readonly kind: "chat" | "service";
    /** Whether the answer is streamed; otherwise it is a single body. */
    readonly isStreamed: boolean;
    readonly verdict: Verdict;
    readonly reason?: string;
    readonly request?: string;
    readonly attempts: number;
    /** Time from the first attempt to the first token or the single body, in milliseconds; undefined when none arrived. */
    readonly firstTokenMs?: number;
    /** Mean time between tokens of a stream, in milliseconds; undefined with fewer than two tokens. */
    readonly tokenMs?: number;
    /** Longest time between two tokens of a stream, in milliseconds. */
    readonly longestGapMs?: number;
    /** Time from the first attempt to the end of the last one, in milliseconds. */
    readonly totalMs: number;
    readonly tokens: number;
}
