import { RequestId } from "../../ids/index.js";
import { HttpResponse } from "../../ports/index.js";
import { EngineUsage, OUTCOME_HEADER, REQUEST_HEADER, STREAM_DONE } from "../../protocol/index.js";
import { CallerError, sendCallerError, toErrorBody } from "../callerError/index.js";

/** What a chat's answer needs to be written. */
export interface ChatAnswer {
    readonly request: RequestId;
    readonly model: string;
    /** Seconds since the epoch. */
    readonly created: number;
}

/** Writes a chat's answer to its caller, each token once. */
export abstract class ChatSink {
    /** How many tokens the sink has taken. */
    protected taken = 0;

    constructor(protected readonly res: HttpResponse, protected readonly answer: ChatAnswer) {}

    get tokens(): number {
        return this.taken;
    }

    /** How many tokens the caller has got, or may have. */
    abstract get delivered(): number;

    /** Takes tokens; settles when the caller can take more. */
    abstract write(text: string, tokens: number): Promise<void> | void;

    /** Ends the answer as whole. */
    abstract finish(finishReason: string, usage: EngineUsage): void;

    /** Ends the answer with an error, at once. */
    abstract fail(err: CallerError): void;
}

/** Server-sent events; the head goes out with the first token, so that a refusal before it has a status of its own. */
export class StreamSink extends ChatSink {
    private headSent = false;
    private readonly before: string;

    constructor(res: HttpResponse, answer: ChatAnswer) {
        super(res, answer);
        const fields = `"id":"chatcmpl-${answer.request}","object":"chat.completion.chunk","created":${answer.created}`;
        this.before = `data: {${fields},"model":${JSON.stringify(answer.model)},"choices":[{"index":0,"delta":`;
    }

    get delivered(): number {
        return this.taken;
    }

    write(text: string, tokens: number): Promise<void> | void {
        this.sendHead();
        this.taken += tokens;
        return this.res.write(`${this.before}{"content":${JSON.stringify(text)}}}]}\n\n`);
    }

    finish(finishReason: string, usage: EngineUsage): void {
        this.sendHead();
        const last = `${this.before}{},"finish_reason":${JSON.stringify(finishReason)}}],"usage":${
            formatUsage(usage)
        }}\n\n`;
        this.res.end(`${last}data: ${STREAM_DONE}\n\n`);
    }

    fail(err: CallerError): void {
        if (!this.headSent) {
            sendCallerError(this.res, err, this.answer.request);
            return;
        }
        this.res.end(`data: ${JSON.stringify(toErrorBody(err, this.answer.request))}\n\n`);
    }

    private sendHead(): void {
        if (this.headSent) return;
        this.headSent = true;
        this.res.head(200, [
            ["content-type", "text/event-stream"],
            ["cache-control", "no-store"],
            [REQUEST_HEADER, this.answer.request],
        ]);
    }
}

/** One JSON body, once the answer is whole. */
export class WholeSink extends ChatSink {
    private readonly parts: string[] = [];

    /** Nothing before the whole. */
    get delivered(): number {
        return 0;
    }

    write(text: string, tokens: number): void {
        this.taken += tokens;
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
