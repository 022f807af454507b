import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { EventRules } from "../../eventStream/index.js";
import { RequestId, UpstreamId } from "../../ids/index.js";
import {
    decodeHeaderText,
    encodeHeaderText,
    findHeader,
    findHeaders,
    formatAddress,
    HeaderList,
    HttpReply,
    HttpRequest,
} from "../../ports/index.js";
import {
    LEAVING_HEADER,
    ReadEntries,
    readEntries,
    REJECTION_LIMIT_HEADER,
    REQUEST_LIMIT_HEADER,
} from "../../protocol/index.js";
import { PromptPart } from "../../upstream/index.js";
import {
    CacheListError,
    CallDialect,
    CallHead,
    ErrorReply,
    ReplyHead,
    UpstreamCallFields,
    UpstreamQuery,
} from "../callDialect/index.js";
import { CallError } from "../callError/index.js";
import { endToEndHeaders } from "../endToEndHeaders/index.js";
import { readSignals } from "../readSignals/index.js";

/** Sequoiamux's headers on routed calls. */
export const CALL_HEADERS = {
    request: "x-sequoiamux-request",
    deadlineMs: "x-sequoiamux-deadline-ms",
    model: "x-sequoiamux-model",
    /** Prompt tokens and the maximum length of the answer in tokens, separated by a comma. */
    tokens: "x-sequoiamux-tokens",
    /** The prompt's parts, `id:tokens` each, separated by commas. */
    parts: "x-sequoiamux-parts",
    lastEventId: "last-event-id",
    /** The caller's id of the attempt that brought a stream's first event, on an attempt that resumes the stream. */
    resumes: "x-sequoiamux-resumes",
    workspace: "x-sequoiamux-workspace",
    upstream: "x-sequoiamux-upstream",
    priority: "x-sequoiamux-priority",
    /** `IP:port` of an upstream from which to fetch cached parts of the prompt. */
    fetchFrom: "x-sequoiamux-fetch-from",
    /** Set by an upstream that has not run the call and will not. */
    notRun: "x-sequoiamux-not-run",
    /** Set on each answer that an upstream itself made. */
    signature: "x-sequoiamux-signature",
    /** Requests per second that the upstream accepts from all hosts together, as long as its answers state it. */
    requestLimit: REQUEST_LIMIT_HEADER,
    /** 1 in the answers of an upstream that is about to end. */
    leaving: LEAVING_HEADER,
    /** Requests that the upstream can turn away within a second, as long as its answers state it. */
    rejectionLimit: REJECTION_LIMIT_HEADER,
} as const;

/** Path of an engine's list of cached prompt parts. */
export const CACHE_PATH = "/sequoiamux/cache";
const cacheListSchema = z.looseObject({ parts: z.array(z.unknown()) });
const cachedPartSchema = z.looseObject({ id: z.string(), tokens: z.int().min(0) });

const HEADERS_NOT_FORWARDED: ReadonlySet<string> = new Set([
    "authorization",
    "content-length",
    CALL_HEADERS.deadlineMs,
    CALL_HEADERS.lastEventId,
    CALL_HEADERS.workspace,
    CALL_HEADERS.upstream,
    CALL_HEADERS.priority,
    CALL_HEADERS.fetchFrom,
]);
const NO_HEADERS: ReadonlySet<string> = new Set();
const STATUS_OK = 200;
const STATUS_MISDIRECTED = 421;
const MS_PER_SECOND = 1_000;
/** Largest number of tokens or milliseconds of a call, far from where sums lose their precision. */
const MAX_AMOUNT = 1e12;
const BEARER_PATTERN = /^bearer +(\S.*)$/i;

/** Sequoiamux's own dialect of routed calls: keys as bearer tokens, and headers that begin with `x-sequoiamux-`. */
export class NativeDialect extends CallDialect {
    readonly deadlineHeader = CALL_HEADERS.deadlineMs;
    readonly priorityLevels = Number.MAX_SAFE_INTEGER;

    readHead({ headers }: HttpRequest): Either<CallError, CallHead> {
        const [request, ...others] = findHeaders(headers, CALL_HEADERS.request);
        if (!request || others.length > 0) {
            return Left(new CallError("malformed", `a call needs one ${CALL_HEADERS.request} header`));
        }
        const [promptTokens = 0, maxTokens = 0] = (findHeader(headers, CALL_HEADERS.tokens) ?? "0").split(",").map(
            Number,
        );
        const deadline = findHeader(headers, CALL_HEADERS.deadlineMs);
        const parts = readParts(findHeader(headers, CALL_HEADERS.parts));
        const amounts = [promptTokens, maxTokens, Number(deadline ?? 0), ...parts.map(({ tokens }) => tokens)];
        if (!amounts.every(isAmount)) {
            return Left(new CallError("malformed", "tokens and deadlines are numbers from 0"));
        }
        return Right({
            parts,
            promptTokens,
            maxTokens,
            request: request as RequestId,
            key: BEARER_PATTERN.exec(decodeHeaderText(findHeader(headers, "authorization") ?? ""))?.[1],
            deadlineMs: deadline === undefined ? undefined : Number(deadline),
            model: findHeader(headers, CALL_HEADERS.model),
            hintedTokens: undefined,
            lastEventId: findHeader(headers, CALL_HEADERS.lastEventId),
            resumes: findHeaders(headers, CALL_HEADERS.resumes) as RequestId[],
            headers: endToEndHeaders(headers, HEADERS_NOT_FORWARDED),
        });
    }

    writeHead(head: CallHead, fields: UpstreamCallFields): HeaderList {
        const { upstream, workspace, deadlineMs, priority, lastEventId, fetchFrom } = fields;
        const added: [string, string][] = [
            [CALL_HEADERS.deadlineMs, String(deadlineMs)],
            [CALL_HEADERS.upstream, encodeHeaderText(upstream)],
            [CALL_HEADERS.priority, String(priority)],
        ];
        if (workspace !== undefined) added.push([CALL_HEADERS.workspace, encodeHeaderText(workspace)]);
        if (lastEventId !== undefined) added.push([CALL_HEADERS.lastEventId, lastEventId]);
        if (fetchFrom !== undefined) added.push([CALL_HEADERS.fetchFrom, formatAddress(fetchFrom)]);
        return [...head.headers, ...added];
    }

    readReply({ status, headers }: HttpReply): ReplyHead {
        return {
            requests: findHeaders(headers, CALL_HEADERS.request),
            refused: findHeader(headers, CALL_HEADERS.notRun) !== undefined,
            misdirected: status === STATUS_MISDIRECTED,
            isSigned: findHeader(headers, CALL_HEADERS.signature) !== undefined,
            signals: readSignals({ status, headers }, CALL_HEADERS),
            headers: endToEndHeaders(headers, NO_HEADERS),
        };
    }

    eventRules(isResumable: boolean): EventRules {
        return { mayOmitIds: !isResumable };
    }

    writeError(err: CallError, request: RequestId | undefined): ErrorReply {
        const { status, kind, message, notRun, retryAfterMs } = err;
        const headers: [string, string][] = [["content-type", "application/json"]];
        if (request !== undefined) headers.push([CALL_HEADERS.request, request]);
        if (notRun) headers.push([CALL_HEADERS.notRun, "1"]);
        if (retryAfterMs !== undefined) headers.push(["retry-after", (retryAfterMs / MS_PER_SECOND).toFixed(3)]);
        return { status, headers, body: JSON.stringify({ error: kind, message, notRun }) };
    }

    writeCacheQuery(upstream: UpstreamId): UpstreamQuery {
        return { method: "GET", path: CACHE_PATH, headers: [[CALL_HEADERS.upstream, encodeHeaderText(upstream)]] };
    }

    readCacheList(status: number, body: string): Either<CacheListError, ReadEntries<PromptPart>> {
        if (status !== STATUS_OK) return Left(new CacheListError(`status ${status}`));
        return Either.encase(() => cacheListSchema.parse(JSON.parse(body)).parts)
            .map(parts => readEntries(cachedPartSchema, parts))
            .mapLeft(err => new CacheListError(err.message));
    }
}

function isAmount(value: number): boolean {
    return value >= 0 && value <= MAX_AMOUNT;
}

function readParts(text: string | undefined): PromptPart[] {
    if (!text) return [];
    return text.split(",").map(entry => {
        const [id, tokens] = entry.split(":");
        return { id, tokens: Number(tokens) };
    });
}
