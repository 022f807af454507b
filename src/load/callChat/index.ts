import * as z from "zod";
import { answerSeed, answerToken, expectedAnswer } from "../../emulator/index.js";
import { findHeader, HttpReply } from "../../ports/index.js";
import { CALLER_PATHS, REQUEST_HEADER, STREAM_DONE } from "../../protocol/index.js";
import { parseErrorResult, tryParseJson } from "../_lib/parseErrorResult.js";
import { CallContext, readText, sendCall } from "../_lib/sendCall.js";
import { readEvents } from "../readEvents/index.js";
import { AttemptResult } from "../requestResult/index.js";
import { TraceChat } from "../trace/index.js";

const chunkSchema = z.looseObject({
    choices: z.array(z.looseObject({
        delta: z.looseObject({ content: z.string().optional() }),
        finish_reason: z.string().nullish(),
    })).min(1),
});
const completionSchema = z.looseObject({
    choices: z.array(z.looseObject({ message: z.looseObject({ content: z.string() }) })).min(1),
});

/**
 * Sends a chat request once, and checks every token of its answer.
 *
 * @param ctx - Connection and credentials of the attempt.
 * @param chat - Request to send.
 * @returns The result of the attempt; never "left", because only the code that aborts the attempt can tell that.
 */
export async function callChat(ctx: CallContext, chat: TraceChat): Promise<AttemptResult> {
    const { model, messages, max_tokens, stream } = chat;
    const sent = await sendCall(ctx, chat, CALLER_PATHS.chat, { model, messages, max_tokens, stream });
    if (sent.isLeft()) {
        const err = sent.extract();
        return { verdict: "lost", reason: err.reason, isUnreachable: !err.mayHaveBeenSent, tokenTimes: [] };
    }
    const reply = sent.unsafeCoerce();
    const request = findHeader(reply.headers, REQUEST_HEADER);
    if (reply.status !== 200) {
        const text = await readText(reply);
        return text === undefined ? makeLost("cut", [], request) : parseErrorResult(text, reply.headers);
    }
    const attempt = stream ? await readStream(ctx, chat, reply) : await readCompletion(ctx, chat, reply);
    return { ...attempt, request: attempt.request ?? request };
}

async function readStream(ctx: CallContext, chat: TraceChat, reply: HttpReply): Promise<AttemptResult> {
    const recorder = new TokenTimeRecorder(answerSeed(chat.messages));
    let text = "";
    let finishReason: string | undefined;
    let isDone = false;
    try {
        for await (const data of readEvents(reply.body)) {
            if (data === STREAM_DONE) {
                isDone = true;
                continue;
            }
            const chunk = chunkSchema.safeParse(tryParseJson(data));
            if (!chunk.success) return parseErrorResult(data, reply.headers, recorder.times);
            const [choice] = chunk.data.choices;
            text += choice.delta.content ?? "";
            finishReason = choice.finish_reason ?? finishReason;
            recorder.record(text.length, ctx.clock.monotonic());
        }
    }
    catch {
        return makeLost("cut", recorder.times);
    }
    if (!isDone || finishReason === undefined) return makeLost("no-terminal-event", recorder.times);
    return checkAnswer(chat, text, recorder.times);
}

/** Records the arrival time of each token, for chunks with any number of tokens. */
class TokenTimeRecorder {
    readonly times: number[] = [];
    private recordedLength = 0;

    constructor(private readonly seed: number) {}

    /** Records the tokens that a text of this length contains beyond those recorded before. */
    record(textLength: number, now: number): void {
        while (this.recordedLength < textLength) {
            this.recordedLength += answerToken(this.seed, this.times.length).length;
            this.times.push(now);
        }
    }
}

async function readCompletion(ctx: CallContext, chat: TraceChat, reply: HttpReply): Promise<AttemptResult> {
    const text = await readText(reply);
    if (text === undefined) return makeLost("cut", []);
    const completion = completionSchema.safeParse(tryParseJson(text));
    if (!completion.success) return parseErrorResult(text, reply.headers);
    const times = Array.from({ length: chat.tokens }, () => ctx.clock.monotonic());
    return checkAnswer(chat, completion.data.choices[0].message.content, times);
}

function checkAnswer(chat: TraceChat, text: string, tokenTimes: readonly number[]): AttemptResult {
    if (text === expectedAnswer(chat.messages, chat.tokens)) return { verdict: "answered", tokenTimes };
    const tokenNumbers = text.trim().split(" ").map(token => /\d+$/.exec(token)?.[0]);
    const isRepeated = new Set(tokenNumbers).size < tokenNumbers.length;
    return {
        verdict: isRepeated ? "doubled" : "lost",
        reason: isRepeated ? "token-twice" : "wrong-answer",
        tokenTimes,
    };
}

function makeLost(reason: string, tokenTimes: readonly number[], request?: string): AttemptResult {
    return { verdict: "lost", reason, tokenTimes, request };
}
