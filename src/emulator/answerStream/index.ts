import { HttpResponse } from "../../ports/index.js";
import { EngineRequest, EngineUsage, STREAM_DONE } from "../../protocol/index.js";
import { answerLength, answerSeed, answerToken } from "../answerText/index.js";
import { Sequence } from "../batch/index.js";
import { RequestFault } from "../engineFaults/index.js";

/** Why a stream's last chunk says it ended. */
export type FinishReason = "stop" | "length" | "cancelled";

/** What an engine tells a stream when its slot begins. */
export interface PrefillPlan {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    /** Prompt tokens, and tokens of a resumed answer, that must be computed first. */
    readonly computeTokens: number;
}

/** What a stream needs from its engine. */
export interface StreamContext {
    /** What is to go wrong. */
    readonly fault: RequestFault | undefined;
    /** Mean length of answers whose prompt has no hint, in tokens. */
    readonly meanTokens: number;
    /** Asked once a slot is taken. */
    planPrefill(): PrefillPlan;
    /** Called once, when the stream ends in whatever way. */
    onEnd(): void;
}

const CROSSED_SEED_OFFSET = 1;

/** One answer of an engine: token after token as server-sent events, faults included. */
export class AnswerStream extends Sequence {
    /** Tokens that this engine gave, resumed ones not counted. */
    produced = 0;
    /** How the stream ended; undefined while it runs. */
    ended: FinishReason | "fault" | "closed" | undefined;
    private plan: PrefillPlan | undefined;
    private offset: number;
    private readonly length: number;
    private readonly reason: FinishReason;
    private readonly seed: number;
    private readonly chunkHead: string;

    /**
     * @param req - The engine's request.
     * @param res - Where the events go; its head has been sent.
     * @param context - What it needs from its engine.
     */
    constructor(
        readonly req: EngineRequest,
        private readonly res: HttpResponse,
        private readonly context: StreamContext,
    ) {
        super(req.priority);
        const { fault, meanTokens } = context;
        const wanted = answerLength(req.messages, meanTokens);
        this.length = Math.min(wanted, req.max_tokens);
        this.reason = wanted <= req.max_tokens ? "stop" : "length";
        this.offset = req.resume?.offset ?? 0;
        const isCrossed = fault?.kind === "crossed";
        this.seed = answerSeed(req.messages) + (isCrossed ? CROSSED_SEED_OFFSET : 0);
        const id = isCrossed ? fault.id : req.request_id;
        this.chunkHead = `data: {"id":${JSON.stringify(id)},"object":"chat.completion.chunk",`
            + `"model":${JSON.stringify(req.model)},"offset":`;
    }

    /** The number of the next token. */
    get nextOffset(): number {
        return this.offset;
    }

    start(): number {
        this.plan = this.context.planPrefill();
        return this.plan.computeTokens;
    }

    emit(): boolean {
        if (this.ended || this.breakIfDue()) return true;
        if (this.offset < this.length) this.writeToken();
        if (this.breakIfDue()) return true;
        if (this.offset < this.length) return false;
        this.finish(this.reason);
        return true;
    }

    /** Ends the stream with its terminal event. */
    finish(reason: FinishReason): void {
        if (this.ended) return;
        this.end(reason);
        const usage: EngineUsage = {
            prompt_tokens: this.plan?.promptTokens ?? 0,
            completion_tokens: this.produced,
            cached_tokens: this.plan?.cachedTokens ?? 0,
        };
        const choice = `"choices":[{"index":0,"delta":{},"finish_reason":"${reason}"}]`;
        this.res.end(
            `${this.chunkHead}${this.offset},"tokens":0,${choice},"usage":${JSON.stringify(usage)}}\n\n`
                + `data: ${STREAM_DONE}\n\n`,
        );
    }

    /** Cuts the connection, as a crash does. */
    cut(): void {
        if (this.ended === undefined) this.end("closed");
        this.res.reset();
    }

    /** Notes that the other end has gone. */
    abandon(): void {
        if (this.ended === undefined) this.end("closed");
    }

    private writeToken(): void {
        const content = JSON.stringify(answerToken(this.seed, this.offset));
        void this.res.write(
            `${this.chunkHead}${this.offset},"tokens":1,"choices":[{"index":0,"delta":{"content":${content}}}]}\n\n`,
        );
        this.offset++;
        this.produced++;
    }

    private breakIfDue(): boolean {
        const { fault } = this.context;
        if (fault?.kind !== "cut" && fault?.kind !== "silent" && fault?.kind !== "unfinished") return false;
        if (this.produced < fault.afterTokens) return false;
        this.end("fault");
        if (fault.kind === "cut") this.res.reset();
        if (fault.kind === "unfinished") this.res.end();
        return true;
    }

    private end(how: FinishReason | "fault" | "closed"): void {
        this.ended = how;
        this.context.onEnd();
    }
}
