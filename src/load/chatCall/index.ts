import * as z from "zod";
import { answerSeed, answerToken, expectedAnswer } from "../../emulator/index.js";
import { findHeader, HttpReply } from "../../ports/index.js";
import { CALLER_PATHS, REQUEST_HEADER, STREAM_DONE } from "../../protocol/index.js";
import { parseOrUndefined, readError } from "../_lib/readError.js";
import { CallContext, readText, sendCall } from "../_lib/sendCall.js";
import { readEvents } from "../eventStream/index.js";
import { Attempt } from "../outcome/index.js";
import { TraceChat } from "../trace/index.js";

const chunkSchema = z.looseObject({
    choices: z.array(z.looseObject({
        delta: z.looseObject({ content: z.string().optional() }),
        finish_reason: z.string().nullish(),
    })).min(1),
});
const wholeSchema = z.looseObject({
    choices: z.array(z.looseObject({ message: z.looseObject({ content: z.string() }) })).min(1),
});

/**
 * Sends a chat request once, and checks its answer token for token.
 *
 * @param ctx - Where to, and by whose key.
 * @param chat - The request.
 * @returns What the attempt came to; never "left", which its caller knows better.
 */
export async function callChat(ctx: CallContext, chat: TraceChat): Promise<Attempt> {
    const { model, messages, max_tokens, stream } = chat;
    const sent = await sendCall(ctx, chat, CALLER_PATHS.chat, { model, messages, max_tokens, stream });
    if (sent.isLeft()) {
        const err = sent.extract();
        return { verdict: "lost", reason: err.reason, isUnreachable: !err.mayHaveLeft, tokenTimes: [] };
    }
    const reply = sent.unsafeCoerce();
    const request = findHeader(reply.headers, REQUEST_HEADER);
    if (reply.status !== 200) {
        const text = await readText(reply);
        return text === undefined ? lost("cut", [], request) : readError(text, reply.headers);
    }
    const attempt = stream ? await readStream(ctx, chat, reply) : await readWhole(ctx, chat, reply);
    return { ...attempt, request: attempt.request ?? request };
}

async function readStream(ctx: CallContext, chat: TraceChat, reply: HttpReply): Promise<Attempt> {
    const watch = new TokenWatch(answerSeed(chat.messages));
    let text = "";
    let finish: string | undefined;
    let isDone = false;
    try {
        for await (const data of readEvents(reply.body)) {
            if (data === STREAM_DONE) {
                isDone = true;
                continue;
            }
            const chunk = chunkSchema.safeParse(parseOrUndefined(data));
            if (!chunk.success) return readError(data, reply.headers, watch.times);
            const [choice] = chunk.data.choices;
            text += choice.delta.content ?? "";
            finish = choice.finish_reason ?? finish;
            watch.note(text.length, ctx.clock.monotonic());
        }
    }
    catch {
        return lost("cut", watch.times);
    }
    if (!isDone || finish === undefined) return lost("no-terminal-event", watch.times);
    return judgeText(chat, text, watch.times);
}

/** Notes when each token came, whatever number of tokens a chunk carries. */
class TokenWatch {
    readonly times: number[] = [];
    private seenLength = 0;

    constructor(private readonly seed: number) {}

    /** Notes the tokens that a text of this length holds beyond those known. */
    note(textLength: number, now: number): void {
        while (this.seenLength < textLength) {
            this.seenLength += answerToken(this.seed, this.times.length).length;
            this.times.push(now);
        }
    }
}

async function readWhole(ctx: CallContext, chat: TraceChat, reply: HttpReply): Promise<Attempt> {
    const text = await readText(reply);
    if (text === undefined) return lost("cut", []);
    const whole = wholeSchema.safeParse(parseOrUndefined(text));
    if (!whole.success) return readError(text, reply.headers);
    const times = Array.from({ length: chat.tokens }, () => ctx.clock.monotonic());
    return judgeText(chat, whole.data.choices[0].message.content, times);
}

function judgeText(chat: TraceChat, text: string, tokenTimes: readonly number[]): Attempt {
    if (text === expectedAnswer(chat.messages, chat.tokens)) return { verdict: "answered", tokenTimes };
    const numbers = text.trim().split(" ").map(token => /\d+$/.exec(token)?.[0]);
    const isTwice = new Set(numbers).size < numbers.length;
    return { verdict: isTwice ? "doubled" : "lost", reason: isTwice ? "token-twice" : "wrong-answer", tokenTimes };
}

function lost(reason: string, tokenTimes: readonly number[], request?: string): Attempt {
    return { verdict: "lost", reason, tokenTimes, request };
}
