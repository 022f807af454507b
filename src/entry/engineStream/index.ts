import { TextDecoder } from "node:util";
import { Either, Left, Right } from "purify-ts";
import { Clock, HttpError, HttpReply } from "../../ports/index.js";
import { EngineChunk, engineFinishSchema, EngineUsage, engineUsageSchema, STREAM_DONE } from "../../protocol/index.js";
import { PathError } from "../../upstream/index.js";

/** An engine's answer that failed before or during the stream. */
export class EngineStreamError extends Error {
    /**
     * @param reason - `unreachable`: the request could not be sent or got no response. `refused`: the engine answered with an
     * error status. `rejected`: the engine considers the request itself invalid, as any other engine would. `crossed`: an event
     * belongs to another request. `gap`: tokens are missing. `truncated`: the stream ended without its terminal event.
     * `malformed`: an event could not be parsed, the usage is missing, or an event follows the one with the usage. `stopped`: this host
     * aborted the request.
     * @param connectionEnded - Whether the engine closed or reset the connection while it was handling the request.
     * @param isPathFailure - Whether the way to the engine failed, which says nothing about the engine.
     */
    constructor(
        readonly reason:
            | "unreachable"
            | "refused"
            | "rejected"
            | "crossed"
            | "gap"
            | "truncated"
            | "malformed"
            | "stopped",
        detail: string,
        readonly connectionEnded = false,
        readonly isPathFailure = false,
    ) {
        super(`${reason}: ${detail}`);
    }
}

/** Consecutive tokens of an answer and their text. */
export interface EngineTokens {
    readonly text: string;
    readonly tokens: number;
}

/** Finish reason and usage of a complete answer. */
export interface EngineStreamEnd {
    readonly finishReason: "stop" | "length" | "cancelled";
    readonly usage: EngineUsage;
}

/** Receives tokens as they arrive; settles when it can accept more. */
export type TokenSink = (tokens: EngineTokens) => Promise<void> | void;

/** Maximum time from the terminal event to the end of the body, in milliseconds. */
const BODY_END_TIMEOUT_MS = 1_000;
const LINE_FEED = "\n";
const CARRIAGE_RETURN = "\r";
const EVENT_SEPARATOR = LINE_FEED + LINE_FEED;
/** Maximum length of an incomplete event, in characters. */
const MAX_EVENT_CHARACTERS = 1024 * 1024;
const DATA_PREFIX = "data:";

/**
 * Reads an engine's answer up to its terminal event.
 *
 * Rejects anything but the whole answer to this request: an event with another request's id (a connection whose previous
 * answer was not read to its end), a jump in the offsets (lost events), an end that does not follow the last token, and an end
 * without `[DONE]` (an engine that crashed, or an intermediary that closed the connection cleanly). Tokens delivered before a resume are skipped, so that the caller
 * receives each token once.
 *
 * @param reply - The engine's reply, with its body unread.
 * @param request - Request id that each event must carry.
 * @param offset - Index of the first token to deliver.
 * @param sink - Receives the tokens in order.
 * @param clock - Bounds the wait for the end of the body after the terminal event.
 * @example
 * const end = await readEngineStream(reply, id, 0, ({ text }) => caller.write(text), clock);
 */
export async function readEngineStream(
    reply: HttpReply,
    request: string,
    offset: number,
    sink: TokenSink,
    clock: Clock,
): Promise<Either<EngineStreamError, EngineStreamEnd>> {
    const reader = new EventReader(request, offset, sink);
    const decoder = new TextDecoder("utf-8", { fatal: true });
    const body = reply.body[Symbol.asyncIterator]();
    const splitter = new EventSplitter();
    try {
        for (let part = await body.next(); !part.done; part = await body.next()) {
            const text = decode(decoder, part.value);
            if (text === undefined) return Left(new EngineStreamError("malformed", "bytes that are not UTF-8"));
            for (const event of splitter.push(text)) {
                const problem = await reader.handleEvent(event);
                if (problem) return Left(problem);
                if (reader.end) {
                    void drainBody(reply, body, clock);
                    return Right(reader.end);
                }
            }
            if (splitter.heldLength > MAX_EVENT_CHARACTERS) {
                return Left(
                    new EngineStreamError("malformed", `an event of more than ${MAX_EVENT_CHARACTERS} characters`),
                );
            }
        }
    }
    catch (err) {
        if (!(err instanceof HttpError)) throw err;
        const reason = err.reason === "aborted" ? "stopped" : "truncated";
        const isPathFailure = err instanceof PathError;
        const connectionEnded = err.reason === "closed" && !isPathFailure;
        return Left(new EngineStreamError(reason, err.message, connectionEnded, isPathFailure));
    }
    return Left(new EngineStreamError("truncated", "no terminal event"));
}

/** @returns undefined for bytes that are not UTF-8. */
function decode(decoder: TextDecoder, bytes: Uint8Array): string | undefined {
    try {
        return decoder.decode(bytes, { stream: true });
    }
    catch {
        return undefined;
    }
}

/**
 * Reads the end of the body after the terminal event. A connection that is not read to the end of its body cannot be reused, and
 * each request would open a new one. A body that does not end in time, or continues, is reset.
 */
async function drainBody(reply: HttpReply, body: AsyncIterator<Uint8Array>, clock: Clock): Promise<void> {
    const limit = clock.after(BODY_END_TIMEOUT_MS, () => reply.reset());
    try {
        const rest = await body.next();
        if (!rest.done) reply.reset();
    }
    catch {
        // The answer is complete; only the connection is lost.
    }
    limit.cancel();
}

/**
 * Splits text into events, and holds back the last one until it is complete. Lines may end in LF, CR or both; those of the events end in
 * LF.
 */
class EventSplitter {
    private held: string[] = [];
    private lastCharacter = "";
    private length = 0;
    /** Whether the text so far ended in CR: an LF at the beginning of the next one ends the same line. */
    private endsInCarriageReturn = false;

    /** Length of the incomplete event, in characters. */
    get heldLength(): number {
        return this.length;
    }

    /** Adds text and returns the events that are complete now. Only the new text is searched. */
    push(received: string): string[] {
        const text = this.unifyLineEnds(received);
        const searched = this.lastCharacter + text;
        this.lastCharacter = searched.slice(-1);
        this.held.push(text);
        this.length += text.length;
        if (!searched.includes(EVENT_SEPARATOR)) return [];
        const events = this.held.join("").split(EVENT_SEPARATOR);
        const rest = events.pop()!;
        this.held = [rest];
        this.length = rest.length;
        return events;
    }

    private unifyLineEnds(received: string): string {
        if (received === "") return received;
        const text = this.endsInCarriageReturn && received.startsWith(LINE_FEED) ? received.slice(1) : received;
        this.endsInCarriageReturn = received.endsWith(CARRIAGE_RETURN);
        return text.includes(CARRIAGE_RETURN) ? text.replace(/\r\n?/g, LINE_FEED) : text;
    }
}

/** Returns the data of an event; undefined where it has none, such as a comment. */
function readData(event: string): string | undefined {
    if (event.startsWith(DATA_PREFIX) && !event.includes(LINE_FEED)) return event.slice(DATA_PREFIX.length).trim();
    const lines = event.split(LINE_FEED).filter(line => line.startsWith(DATA_PREFIX));
    if (lines.length === 0) return undefined;
    return lines.map(line => line.slice(DATA_PREFIX.length)).join(LINE_FEED).trim();
}

/** Parses events in order and passes their tokens to the sink. */
class EventReader {
    /** Set once the terminal event has been read. */
    end: EngineStreamEnd | undefined;
    /** Finish reason and usage received, while the terminal event is outstanding. */
    private last: EngineStreamEnd | undefined;

    constructor(
        private readonly request: string,
        private nextOffset: number,
        private readonly sink: TokenSink,
    ) {}

    /** Processes one event; returns an error if the event is invalid. */
    async handleEvent(event: string): Promise<EngineStreamError | undefined> {
        const data = readData(event);
        if (data === undefined) return undefined;
        if (data === STREAM_DONE) return this.handleDone();
        const chunk = parseChunk(data);
        if (!chunk) return new EngineStreamError("malformed", data.slice(0, 80));
        if (chunk.id !== this.request) return new EngineStreamError("crossed", `an event of ${chunk.id}`);
        if (this.last) return new EngineStreamError("malformed", "an event behind the end of the answer");
        return await this.handleTokens(chunk) ?? this.handleEnd(chunk);
    }

    /** Reads the finish reason and usage where an event has them: it ends the answer behind the last token. */
    private handleEnd({ choices: [choice], usage, offset, tokens }: EngineChunk): EngineStreamError | undefined {
        if (!choice.finish_reason || !usage) return undefined;
        if (offset + tokens !== this.nextOffset) return this.reportGap(offset + tokens);
        const finishReason = engineFinishSchema.safeParse(choice.finish_reason);
        const counts = engineUsageSchema.safeParse(usage);
        if (!finishReason.success || !counts.success) {
            return new EngineStreamError("malformed", "an end whose finish reason or usage is none");
        }
        this.last = { finishReason: finishReason.data, usage: counts.data };
        return undefined;
    }

    private handleDone(): EngineStreamError | undefined {
        if (!this.last) return new EngineStreamError("malformed", "the end came without usage");
        this.end = this.last;
        return undefined;
    }

    private async handleTokens(chunk: EngineChunk): Promise<EngineStreamError | undefined> {
        if (chunk.tokens === 0 || chunk.offset + chunk.tokens <= this.nextOffset) return undefined;
        if (chunk.offset !== this.nextOffset) return this.reportGap(chunk.offset);
        this.nextOffset += chunk.tokens;
        const wait = this.sink({ text: chunk.choices[0].delta.content ?? "", tokens: chunk.tokens });
        if (wait) await wait;
        return undefined;
    }

    private reportGap(offset: number): EngineStreamError {
        return new EngineStreamError("gap", `token ${offset} where ${this.nextOffset} was due`);
    }
}

/** Checks only the fields in use, by hand: schema validation of each token would cost as much as all other work on it. */
function parseChunk(data: string): EngineChunk | undefined {
    try {
        const chunk = JSON.parse(data) as EngineChunk;
        const { delta } = chunk.choices[0];
        const content: unknown = delta.content ?? "";
        const isDelta = typeof delta === "object" && !Array.isArray(delta);
        const isWellFormed = typeof chunk.id === "string" && isDelta && typeof content === "string"
            && isCount(chunk.offset) && isCount(chunk.tokens) && isCount(chunk.offset + chunk.tokens);
        return isWellFormed ? chunk : undefined;
    }
    catch {
        return undefined;
    }
}

function isCount(value: number): boolean {
    return Number.isSafeInteger(value) && value >= 0;
}
