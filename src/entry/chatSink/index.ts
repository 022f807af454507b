import { RequestId } from "../../ids/index.js";
import { HttpResponse } from "../../ports/index.js";
import { EngineUsage, OUTCOME_HEADER, REQUEST_HEADER, STREAM_DONE } from "../../protocol/index.js";
import { CallerError, sendCallerError, toErrorBody } from "../callerError/index.js";

/** Fields that each chunk or body of a chat's answer repeats. */
export interface ChatAnswerInfo {
    readonly request: RequestId;
    readonly model: string;
    /** Seconds since the epoch. */
    readonly created: number;
}

/** Writes a chat's answer to its caller, each token exactly once. */
export abstract class ChatSink {
    /** Number of tokens written to the sink. */
    protected tokenCount = 0;

    constructor(protected readonly res: HttpResponse, protected readonly answer: ChatAnswerInfo) {}

    get tokens(): number {
        return this.tokenCount;
    }

    /** Number of tokens that the caller has received or may have received. */
    abstract get delivered(): number;

    /** Writes tokens; settles when the caller's connection can accept more. */
    abstract write(text: string, tokens: number): Promise<void> | void;

    /** Completes the answer. */
    abstract finish(finishReason: string, usage: EngineUsage): void;

    /** Ends the answer with an error. */
    abstract fail(err: CallerError): void;
}

/** Streams server-sent events. The response head is sent with the first token, so that an earlier error can still set the status. */
export class StreamSink extends ChatSink {
    private isHeadSent = false;
    private readonly chunkPrefix: string;

    constructor(res: HttpResponse, answer: ChatAnswerInfo) {
        super(res, answer);
        const fields = `"id":"chatcmpl-${answer.request}","object":"chat.completion.chunk","created":${answer.created}`;
        this.chunkPrefix = `data: {${fields},"model":${JSON.stringify(answer.model)},"choices":[{"index":0,"delta":`;
    }

    get delivered(): number {
        return this.tokenCount;
    }

    write(text: string, tokens: number): Promise<void> | void {
        this.sendHead();
        this.tokenCount += tokens;
        return this.res.write(`${this.chunkPrefix}{"content":${JSON.stringify(text)}}}]}\n\n`);
    }

    finish(finishReason: string, usage: EngineUsage): void {
        this.sendHead();
        const last = `${this.chunkPrefix}{},"finish_reason":${JSON.stringify(finishReason)}}],"usage":${
            formatUsage(usage)
        }}\n\n`;
        this.res.end(`${last}data: ${STREAM_DONE}\n\n`);
    }

    fail(err: CallerError): void {
        if (!this.isHeadSent) {
            sendCallerError(this.res, err, this.answer.request);
            return;
        }
        this.res.end(`data: ${JSON.stringify(toErrorBody(err, this.answer.request))}\n\n`);
    }

    private sendHead(): void {
        if (this.isHeadSent) return;
        this.isHeadSent = true;
        this.res.head(200, [
            ["content-type", "text/event-stream"],
            ["cache-control", "no-store"],
            [REQUEST_HEADER, this.answer.request],
        ]);
    }
}

/** Buffers the answer and sends it as one JSON body when it is complete. */
export class BufferedSink extends ChatSink {
    private readonly parts: string[] = [];

    /** Always 0: nothing is sent before the answer is complete. */
    get delivered(): number {
        return 0;
    }

    write(text: string, tokens: number): void {
        this.tokenCount += tokens;
        this.parts.push(text);
    }

    finish(finishReason: string, usage: EngineUsage): void {
        const { request, model, created } = this.answer;
        const message = { role: "assistant", content: this.parts.join("") };
        const body = Buffer.from(JSON.stringify({
            id: `chatcmpl-${request}`,
            object: "chat.completion",
            created,
            model,
            choices: [{ index: 0, message, finish_reason: finishReason }],
            usage: toPublicUsage(usage),
        }));
        this.res.head(200, [
            ["content-type", "application/json"],
            ["content-length", String(body.length)],
            [REQUEST_HEADER, request],
            [OUTCOME_HEADER, "answered"],
        ]);
        this.res.end(body);
    }

    fail(err: CallerError): void {
        sendCallerError(this.res, err, this.answer.request);
    }
}

function formatUsage(usage: EngineUsage): string {
    return JSON.stringify(toPublicUsage(usage));
}

function toPublicUsage({ prompt_tokens, completion_tokens, cached_tokens }: EngineUsage): object {
    return {
        prompt_tokens,
        completion_tokens,
        total_tokens: prompt_tokens + completion_tokens,
        prompt_tokens_details: { cached_tokens },
    };
}
