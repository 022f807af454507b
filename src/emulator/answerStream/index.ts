import { HttpResponse } from "../../ports/index.js";
import { EngineRequest, EngineUsage, STREAM_DONE } from "../../protocol/index.js";
import { answerLength, answerSeed, answerToken } from "../answerText/index.js";
import { Sequence } from "../batch/index.js";
import { EngineFault } from "../engineFaults/index.js";

/** Finish reason in a stream's last chunk. */
export type FinishReason = "stop" | "length" | "cancelled";

/** Prefill work of a request, determined when it gets a slot. */
export interface PrefillPlan {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Tokens to compute before the first output token: prompt tokens and tokens of a resumed answer. */
    readonly computeTokens: number;
}

/** Options of an answer stream. */
export interface AnswerStreamOptions {
    /** Fault to inject into this answer. */
    readonly fault: EngineFault | undefined;
    /** Mean length of answers whose prompt has no length hint, in tokens. */
    readonly meanTokens: number;
    /** Called when the request gets a slot. */
    planPrefill(): PrefillPlan;
    /** Called once, when the stream ends for any reason. */
    onEnd(): void;
}

/** Added to the seed of a `crossed` answer, which makes its text that of another request. */
const CROSSED_SEED_OFFSET = 1;

/** One answer of an engine, sent token by token as server-sent events, with injected faults. */
export class AnswerStream extends Sequence {
    /** Tokens produced by this engine, without those before the resume offset. */
    producedTokens = 0;
    /** Finish reason, or `fault` for an injected fault, or `closed` for a closed connection; undefined while the stream runs. */
    outcome: FinishReason | "fault" | "closed" | undefined;
    private prefillPlan: PrefillPlan | undefined;
    private offset: number;
    private readonly answerTokens: number;
    private readonly finishReason: FinishReason;
    private readonly seed: number;
    private readonly chunkPrefix: string;

    /**
     * @param req - The request to answer.
     * @param res - Receives the events; its head has been sent.
     * @param options - Fault, mean answer length and the engine's callbacks.
     */
    constructor(
        readonly req: EngineRequest,
        private readonly res: HttpResponse,
        private readonly options: AnswerStreamOptions,
    ) {
        super(req.priority);
        const { fault, meanTokens } = options;
        const lengthWithoutLimit = answerLength(req.messages, meanTokens);
        this.answerTokens = Math.min(lengthWithoutLimit, req.max_tokens);
        this.finishReason = lengthWithoutLimit <= req.max_tokens ? "stop" : "length";
        this.offset = req.resume?.offset ?? 0;
        const isCrossed = fault?.kind === "crossed";
        this.seed = answerSeed(req.messages) + (isCrossed ? CROSSED_SEED_OFFSET : 0);
        const id = isCrossed ? fault.id : req.request_id;
        this.chunkPrefix = `data: {"id":${JSON.stringify(id)},"object":"chat.completion.chunk",`
            + `"model":${JSON.stringify(req.model)},"offset":`;
    }

    /** Offset of the next token in the whole answer. */
    get nextOffset(): number {
        return this.offset;
    }

    startPrefill(): number {
        this.prefillPlan = this.options.planPrefill();
        return this.prefillPlan.computeTokens;
    }

    emitToken(): boolean {
        if (this.outcome || this.applyFaultIfDue()) return true;
        if (this.offset < this.answerTokens) this.writeToken();
        if (this.applyFaultIfDue()) return true;
        if (this.offset < this.answerTokens) return false;
        this.finish(this.finishReason);
        return true;
    }

    /** Ends the stream with its terminal event. */
    finish(reason: FinishReason): void {
        if (this.outcome) return;
        this.end(reason);
        const usage: EngineUsage = {
            prompt_tokens: this.prefillPlan?.promptTokens ?? 0,
            completion_tokens: this.producedTokens,
            cached_tokens: this.prefillPlan?.cachedTokens ?? 0,
        };
        const choice = `"choices":[{"index":0,"delta":{},"finish_reason":"${reason}"}]`;
        this.res.end(
            `${this.chunkPrefix}${this.offset},"tokens":0,${choice},"usage":${JSON.stringify(usage)}}\n\n`
                + `data: ${STREAM_DONE}\n\n`,
        );
    }

    /** Resets the connection, as a crash does. */
    resetConnection(): void {
        if (this.outcome === undefined) this.end("closed");
        this.res.reset();
    }

    /** Ends the stream after its client has disconnected. */
    markAbandoned(): void {
        if (this.outcome === undefined) this.end("closed");
    }

    private writeToken(): void {
        const content = JSON.stringify(answerToken(this.seed, this.offset));
        void this.res.write(
            `${this.chunkPrefix}${this.offset},"tokens":1,"choices":[{"index":0,"delta":{"content":${content}}}]}\n\n`,
        );
        this.offset++;
        this.producedTokens++;
    }

    private applyFaultIfDue(): boolean {
        const { fault } = this.options;
        if (fault?.kind !== "cut" && fault?.kind !== "silent" && fault?.kind !== "unfinished") return false;
        if (this.producedTokens < fault.afterTokens) return false;
        this.end("fault");
        if (fault.kind === "cut") this.res.reset();
        if (fault.kind === "unfinished") this.res.end();
        return true;
    }

    private end(outcome: FinishReason | "fault" | "closed"): void {
        this.outcome = outcome;
        this.options.onEnd();
    }
}
