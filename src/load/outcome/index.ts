import { Outcome } from "../../protocol/index.js";

/**
 * What a replayed request came to, as its caller sees it.
 * - `answered`: the answer is whole, checked against what it must be.
 * - `refused`: not run, and told so.
 * - `failed`: told that it ran in part, or may have run.
 * - `left`: the caller went away, as the trace says.
 * - `lost`: no truthful last word: cut off, silent, or a wrong answer.
 * - `doubled`: it ran more than once, or a token came twice.
 */
export type Verdict = "answered" | "refused" | "failed" | "left" | "lost" | "doubled";

/** What one attempt came to. */
export interface Attempt {
    readonly verdict: Verdict;
    /** A word for programs: the error's type, or what was lost. */
    readonly reason?: string;
    /** What the answer says of itself. */
    readonly stated?: Outcome;
    /** When to come back, in milliseconds. */
    readonly retryAfterMs?: number;
    /** The connection was refused, so that another address may be tried. */
    readonly isUnreachable?: boolean;
    /** When each token came, in milliseconds on the monotonic clock; for a service, when its answer came. */
    readonly tokenTimes: readonly number[];
    /** The request's id, where the answer gave one. */
    readonly request?: string;
}

/** What a request came to, all attempts together. */
export interface RequestResult {
    readonly workspace: string;
    readonly className: string;
    readonly kind: "chat" | "service";
    /** The answer comes token for token; else as one body. */
    readonly isStreamed: boolean;
    readonly verdict: Verdict;
    readonly reason?: string;
    readonly request?: string;
    readonly attempts: number;
    /** From the first attempt to the first token or the one body, in milliseconds; undefined when none came. */
    readonly firstTokenMs?: number;
    /** Mean time between tokens, in milliseconds; undefined below two tokens. */
    readonly tokenMs?: number;
    /** The longest time between two tokens, in milliseconds. */
    readonly longestGapMs?: number;
    /** From the first attempt to the end, in milliseconds. */
    readonly totalMs: number;
    readonly tokens: number;
}
