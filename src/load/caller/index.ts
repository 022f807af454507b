import { Address, Clock, Http, Random } from "../../ports/index.js";
import { callChat } from "../chatCall/index.js";
import { Attempt, RequestResult, Verdict } from "../outcome/index.js";
import { callService } from "../serviceCall/index.js";
import { TraceRequest } from "../trace/index.js";

/** How callers behave. */
export interface CallerConfig {
    /** Where the system takes requests; a platform's balancer would pick one of these. */
    readonly addresses: readonly Address[];
    /** How long a caller waits for a whole answer, in milliseconds. */
    readonly timeoutMs: number;
    /** How often a refused request is sent again after the time it was told. */
    readonly retries: number;
    /** A caller does not wait longer than this to come back, in milliseconds. */
    readonly longestRetryWaitMs: number;
    /** How often a request whose answer was lost is sent again; a call of a service under the same idempotency key. */
    readonly resends: number;
    /**
     * Which chats are sent again after their connection broke: those that had no token yet, as client libraries do by
     * themselves, or all of them, as a person would.
     */
    readonly chatResends: "before-first-token" | "always";
}

/** Callers that wait two minutes, take a refusal as their answer, and resend what was lost three times. */
export const DEFAULT_CALLER: Omit<CallerConfig, "addresses"> = {
    timeoutMs: 120_000,
    retries: 0,
    longestRetryWaitMs: 10_000,
    resends: 3,
    chatResends: "before-first-token",
};

/** What a caller runs on. */
export interface CallerPorts {
    readonly clock: Clock;
    readonly random: Random;
    readonly http: Http;
}

const RESEND_PAUSE_MS = 200;

/** Sends one request as a usual caller does, until it has its last word. */
export class Caller {
    constructor(private readonly ports: CallerPorts, private readonly cfg: CallerConfig) {}

    /**
     * Sends a request, and again where a usual caller would.
     *
     * @param request - The request.
     * @param key - The workspace's key.
     * @returns What it came to.
     */
    async run(request: TraceRequest, key: string): Promise<RequestResult> {
        const { clock, random } = this.ports;
        const startedAt = clock.monotonic();
        let next = random.integer(0, this.cfg.addresses.length);
        let attempts = 0;
        let attempt: Attempt;
        do {
            const address = this.cfg.addresses[next++ % this.cfg.addresses.length];
            attempt = await this.runOnce(request, key, address);
            attempts++;
        }
        while (await this.waitToRepeat(request, attempt, attempts));
        return describeResult(request, attempt, attempts, startedAt, clock.monotonic());
    }

    private async runOnce(request: TraceRequest, key: string, address: Address): Promise<Attempt> {
        const { clock, http } = this.ports;
        const abort = new AbortController();
        const leaveMs = request.kind === "chat" ? request.leave_after_ms : undefined;
        const limitMs = Math.min(this.cfg.timeoutMs, leaveMs ?? Number.POSITIVE_INFINITY);
        const limit = clock.after(limitMs, () => abort.abort());
        const ctx = { clock, http, address, key, signal: abort.signal };
        const attempt = request.kind === "chat" ? await callChat(ctx, request) : await callService(ctx, request);
        limit.cancel();
        if (!abort.signal.aborted) return attempt;
        const verdict: Verdict = leaveMs === limitMs ? "left" : "lost";
        return { ...attempt, verdict, reason: verdict === "left" ? "left" : "timeout" };
    }

    /** Whether a usual caller takes the answer for lost and asks again. */
    private isResent(request: TraceRequest, attempt: Attempt): boolean {
        if (attempt.verdict !== "lost") return false;
        if (request.kind === "service") return true;
        const isBroken = attempt.reason === "closed" || attempt.reason === "cut";
        return isBroken && (this.cfg.chatResends === "always" || attempt.tokenTimes.length === 0);
    }

    /** Whether the request goes out once more; waits as long as a caller would. */
    private async waitToRepeat(request: TraceRequest, attempt: Attempt, attempts: number): Promise<boolean> {
        const { clock } = this.ports;
        if (attempt.isUnreachable || this.isResent(request, attempt)) {
            await clock.sleep(RESEND_PAUSE_MS);
            return attempts <= this.cfg.resends;
        }
        const { retryAfterMs } = attempt;
        if (attempt.verdict !== "refused" || retryAfterMs === undefined || attempts > this.cfg.retries) return false;
        if (retryAfterMs > this.cfg.longestRetryWaitMs) return false;
        await clock.sleep(retryAfterMs);
        return true;
    }
}

function describeResult(
    request: TraceRequest,
    attempt: Attempt,
    attempts: number,
    startedAt: number,
    endedAt: number,
): RequestResult {
    const times = attempt.tokenTimes;
    const first = times.length > 0 ? times[0] : undefined;
    const gaps = times.slice(1).map((time, index) => time - times[index]);
    const isStreamed = request.kind === "chat" && request.stream;
    const hasGaps = isStreamed && gaps.length > 0;
    return {
        workspace: request.workspace,
        className: request.class,
        kind: request.kind,
        isStreamed,
        verdict: attempt.verdict,
        reason: attempt.reason,
        request: attempt.request,
        attempts,
        firstTokenMs: first === undefined ? undefined : first - startedAt,
        tokenMs: hasGaps ? (times[times.length - 1] - times[0]) / gaps.length : undefined,
        longestGapMs: hasGaps ? Math.max(...gaps) : undefined,
        totalMs: endedAt - startedAt,
        tokens: request.kind === "chat" ? times.length : 0,
    };
}
