import { Address, Clock, Http, Random } from "../../ports/index.js";
import { callChat } from "../callChat/index.js";
import { callService } from "../callService/index.js";
import { AttemptResult, RequestResult, Verdict } from "../requestResult/index.js";
import { TraceRequest } from "../trace/index.js";

/** Options of a caller: timeouts and repeated attempts. */
export interface CallerConfig {
    /** The system's caller addresses. The caller picks one at random, as a load balancer would, and the next on each repeat. */
    readonly addresses: readonly Address[];
    /** Maximum time to the complete answer of one attempt, in milliseconds. */
    readonly timeoutMs: number;
    /** Maximum number of times that a refused request is sent again, each after the delay named in the refusal. */
    readonly retries: number;
    /** Longest such delay that the caller accepts, in milliseconds; after a longer one it gives up. */
    readonly longestRetryWaitMs: number;
    /** Maximum number of times that a request whose answer was lost is resent; service calls keep their idempotency key. */
    readonly resends: number;
    /**
     * Chats that are resent after their connection broke: those that had received no token, as client libraries do on their
     * own, or all of them, as a user would.
     */
    readonly chatResends: "before-first-token" | "always";
}

/** Options of a caller that waits two minutes, accepts a refusal as final, and resends a lost request up to three times. */
export const DEFAULT_CALLER: Omit<CallerConfig, "addresses"> = {
    timeoutMs: 120_000,
    retries: 0,
    longestRetryWaitMs: 10_000,
    resends: 3,
    chatResends: "before-first-token",
};

/** Ports that a caller uses. */
export interface CallerPorts {
    readonly clock: Clock;
    readonly random: Random;
    readonly http: Http;
}

const RESEND_DELAY_MS = 200;

/** Sends requests as a typical client does, repeating attempts until the result is final. */
export class Caller {
    constructor(private readonly ports: CallerPorts, private readonly cfg: CallerConfig) {}

    /**
     * Sends a request, and repeats it where a typical client would.
     *
     * @param request - Request to send.
     * @param key - API key of the workspace.
     * @returns The result of the request over all attempts.
     */
    async run(request: TraceRequest, key: string): Promise<RequestResult> {
        const { clock, random } = this.ports;
        const startedAt = clock.monotonic();
        let next = random.integer(0, this.cfg.addresses.length);
        let attempts = 0;
        let attempt: AttemptResult;
        do {
            const address = this.cfg.addresses[next++ % this.cfg.addresses.length];
            attempt = await this.runAttempt(request, key, address);
            attempts++;
        }
        while (await this.waitForRepeat(request, attempt, attempts));
        return makeRequestResult(request, attempt, attempts, startedAt, clock.monotonic());
    }

    private async runAttempt(request: TraceRequest, key: string, address: Address): Promise<AttemptResult> {
        const { clock, http } = this.ports;
        const abort = new AbortController();
        const leaveAfterMs = request.kind === "chat" ? request.leave_after_ms : undefined;
        const abortAfterMs = Math.min(this.cfg.timeoutMs, leaveAfterMs ?? Number.POSITIVE_INFINITY);
        const abortTimer = clock.after(abortAfterMs, () => abort.abort());
        const ctx = { clock, http, address, key, signal: abort.signal };
        const attempt = request.kind === "chat" ? await callChat(ctx, request) : await callService(ctx, request);
        abortTimer.cancel();
        if (!abort.signal.aborted) return attempt;
        const verdict: Verdict = leaveAfterMs === abortAfterMs ? "left" : "lost";
        return { ...attempt, verdict, reason: verdict === "left" ? "left" : "timeout" };
    }

    /** Whether a typical client considers the answer lost and sends the request again. */
    private shouldResend(request: TraceRequest, attempt: AttemptResult): boolean {
        if (attempt.verdict !== "lost") return false;
        if (request.kind === "service") return true;
        const isBroken = attempt.reason === "closed" || attempt.reason === "cut";
        return isBroken && (this.cfg.chatResends === "always" || attempt.tokenTimes.length === 0);
    }

    /** Decides whether the request is sent again, and if so waits for the delay before it. */
    private async waitForRepeat(request: TraceRequest, attempt: AttemptResult, attempts: number): Promise<boolean> {
        const { clock } = this.ports;
        if (attempt.isUnreachable || this.shouldResend(request, attempt)) {
            await clock.sleep(RESEND_DELAY_MS);
            return attempts <= this.cfg.resends;
        }
        const { retryAfterMs } = attempt;
        if (attempt.verdict !== "refused" || retryAfterMs === undefined || attempts > this.cfg.retries) return false;
        if (retryAfterMs > this.cfg.longestRetryWaitMs) return false;
        await clock.sleep(retryAfterMs);
        return true;
    }
}

function makeRequestResult(
    request: TraceRequest,
    attempt: AttemptResult,
    attempts: number,
    startedAt: number,
    endedAt: number,
): RequestResult {
    const times = attempt.tokenTimes;
    const firstTime = times.length > 0 ? times[0] : undefined;
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
        firstTokenMs: firstTime === undefined ? undefined : firstTime - startedAt,
        tokenMs: hasGaps ? (times[times.length - 1] - times[0]) / gaps.length : undefined,
        longestGapMs: hasGaps ? Math.max(...gaps) : undefined,
        totalMs: endedAt - startedAt,
        tokens: request.kind === "chat" ? times.length : 0,
    };
}
