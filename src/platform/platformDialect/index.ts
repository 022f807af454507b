import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { EventRules } from "../../eventStream/index.js";
import { RequestId, UpstreamId } from "../../ids/index.js";
import {
    CacheListError,
    CallDialect,
    CallError,
    CallHead,
    endToEndHeaders,
    ErrorReply,
    readSignals,
    ReplyHead,
    UpstreamCallFields,
    UpstreamQuery,
} from "../../passthrough/index.js";
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
import { ReadEntries, readEntries } from "../../protocol/index.js";
import { PromptPart } from "../../upstream/index.js";

/** Names of the platform's headers. */
const HEADER_NAMES = {
    attempt: "sequoiamux-attempt-id",
    deadline: "sequoiamux-deadline-ms",
    model: "sequoiamux-model",
    /** Prompt tokens and maximum output tokens, separated by a comma. */
    usage: "sequoiamux-token-usage",
    /** Parts of the prompt, each as `ID:TOKENS`, separated by commas. */
    prefix: "sequoiamux-prefix-hash",
    lengthHint: "sequoiamux-length-hint",
    tenant: "sequoiamux-tenant",
    expectInstance: "sequoiamux-expect-instance",
    notExecuted: "sequoiamux-not-executed",
    /** Signature of the response by its upstream. */
    stamp: "sequoiamux-response-stamp",
    /** Requests per second that an upstream accepts from all hosts together. */
    requestLimit: "server-limit",
    /** 1 in the responses of an engine that is about to end. */
    leaving: "server-leaving",
    /** Requests that an upstream can turn away within a second; one more, and it falls over. */
    rejectionLimit: "server-brittle",
    priority: "sequoiamux-priority-class",
    lastEventId: "last-event-id",
    /** Attempt ID of the client attempt that brought the first event of the stream that is resumed. */
    resumes: "resumes",
    /** `IP:PORT` of another engine from which the addressed engine fetches the parts of the prompt that it lacks. */
    fetchFrom: "kv-fetch",
} as const;

/** Request headers that only the system may send to an upstream; those sent by a caller are dropped. */
const RESERVED_HEADERS: ReadonlySet<string> = new Set([
    "authorization",
    // Recomputed from the body that is sent.
    "content-length",
    HEADER_NAMES.deadline,
    HEADER_NAMES.tenant,
    HEADER_NAMES.expectInstance,
    HEADER_NAMES.priority,
    HEADER_NAMES.lastEventId,
    "sequoiamux-expect-version",
    "sequoiamux-hold",
    "sequoiamux-pin-ms",
    "sequoiamux-kv-backup",
    "kv-from",
    HEADER_NAMES.fetchFrom,
]);
const NO_HEADERS: ReadonlySet<string> = new Set();

const STATUS_OK = 200;
const STATUS_MISDIRECTED = 421;
const MS_PER_SECOND = 1_000;
const PRIORITY_CLASS_COUNT = 10;
const ATTEMPT_ID_PATTERN = /^[\x21-\x7e]{1,200}$/;
const AUTHORIZATION_PATTERN = /^token +(\S.*)$/i;
const PROMPT_PART_PATTERN = /^([0-9a-f]+):(\d+)$/i;

/** Engines number all events of a stream, and write the version of their weights before the event at which it changes. */
const EVENT_RULES: EventRules = {
    mayOmitIds: false,
    firstField: { name: "sequoiamux-weight-versions", value: /^\d+$/ },
};

/** An engine's list of cached prompt parts. The fields `epoch` and `next`, for clients that follow changes, are not used. */
const cacheListSchema = z.looseObject({ held: z.array(z.unknown()) });
/** Per part: an empty string, the part's ID, its number of tokens, and the model. */
const cachedPartSchema = z.tuple([z.string(), z.string(), z.int().min(0)]).rest(z.unknown())
    .transform(([, id, tokens]): PromptPart => ({ id, tokens }));

/** Reads and writes calls in the platform's header format. */
export class PlatformDialect extends CallDialect {
    readonly deadlineHeader = HEADER_NAMES.deadline;
    readonly priorityLevels = PRIORITY_CLASS_COUNT;

    readHead(req: HttpRequest): Either<CallError, CallHead> {
        const { headers } = req;
        const attempts = headers.filter(([name]) => name === HEADER_NAMES.attempt);
        if (attempts.length !== 1 || !ATTEMPT_ID_PATTERN.test(attempts[0][1])) {
            return Left(new CallError("malformed", `a call needs one ${HEADER_NAMES.attempt} header`));
        }
        const sentKey = AUTHORIZATION_PATTERN.exec(findHeader(headers, "authorization") ?? "")?.[1];
        const [promptTokens = 0, maxTokens = 0] = parseNumbers(findHeader(headers, HEADER_NAMES.usage));
        return Right({
            promptTokens,
            maxTokens,
            request: attempts[0][1] as RequestId,
            key: sentKey === undefined ? undefined : decodeHeaderText(sentKey),
            deadlineMs: parseNumbers(findHeader(headers, HEADER_NAMES.deadline)).at(0),
            hintedTokens: parseNumbers(findHeader(headers, HEADER_NAMES.lengthHint)).at(0),
            model: findHeader(headers, HEADER_NAMES.model),
            parts: parsePromptParts(findHeader(headers, HEADER_NAMES.prefix)),
            lastEventId: findHeader(headers, HEADER_NAMES.lastEventId),
            resumes: findHeaders(headers, HEADER_NAMES.resumes) as RequestId[],
            headers: dropHeadersWithKey(endToEndHeaders(headers, RESERVED_HEADERS), sentKey),
        });
    }

    writeHead(head: CallHead, fields: UpstreamCallFields): HeaderList {
        const { upstream, workspace, deadlineMs, priority, lastEventId, fetchFrom } = fields;
        const added: [string, string][] = [
            [HEADER_NAMES.deadline, String(deadlineMs)],
            [HEADER_NAMES.expectInstance, encodeHeaderText(upstream)],
            [HEADER_NAMES.priority, String(priority)],
        ];
        if (workspace !== undefined) added.push([HEADER_NAMES.tenant, encodeHeaderText(workspace)]);
        if (lastEventId !== undefined) added.push([HEADER_NAMES.lastEventId, lastEventId]);
        if (fetchFrom !== undefined) added.push([HEADER_NAMES.fetchFrom, formatAddress(fetchFrom)]);
        return [...head.headers, ...added];
    }

    readReply({ status, headers }: HttpReply): ReplyHead {
        const isEncoded = findHeader(headers, "content-encoding") !== undefined;
        return {
            requests: findHeaders(headers, HEADER_NAMES.attempt),
            refused: findHeader(headers, HEADER_NAMES.notExecuted) !== undefined,
            misdirected: status === STATUS_MISDIRECTED,
            // Callers don't request an encoding, so an encoded body isn't the one that the upstream produced and signed.
            isSigned: findHeader(headers, HEADER_NAMES.stamp) !== undefined && !isEncoded,
            signals: readSignals({ status, headers }, HEADER_NAMES),
            headers: endToEndHeaders(headers, NO_HEADERS),
        };
    }

    eventRules(): EventRules {
        return EVENT_RULES;
    }

    writeError(err: CallError): ErrorReply {
        const { status, kind, message, notRun, retryAfterMs } = err;
        const headers: [string, string][] = [["content-type", "application/json"]];
        if (retryAfterMs !== undefined) headers.push(["retry-after", (retryAfterMs / MS_PER_SECOND).toFixed(3)]);
        return { status, headers, body: JSON.stringify({ error: kind, message, notRun }) };
    }

    writeCacheQuery(upstream: UpstreamId): UpstreamQuery {
        return {
            method: "GET",
            path: "/kv-list",
            headers: [[HEADER_NAMES.expectInstance, encodeHeaderText(upstream)]],
        };
    }

    readCacheList(status: number, body: string): Either<CacheListError, ReadEntries<PromptPart>> {
        if (status !== STATUS_OK) return Left(new CacheListError(`status ${status}`));
        return Either.encase(() => cacheListSchema.parse(JSON.parse(body)).held)
            .map(held => readEntries(cachedPartSchema, held))
            .mapLeft(err => new CacheListError(err.message));
    }
}

function parseNumbers(text: string | undefined): number[] {
    if (text === undefined) return [];
    return text.split(",").map(Number).filter(value => Number.isFinite(value) && value >= 0);
}

function parsePromptParts(text: string | undefined): PromptPart[] {
    return (text ?? "").split(",").flatMap(entry => {
        const [, id, tokens] = PROMPT_PART_PATTERN.exec(entry.trim()) ?? [];
        return id === undefined ? [] : [{ id, tokens: Number(tokens) }];
    });
}

/**
 * Removes headers whose value contains the caller's API key, in either encoding: the key must not reach the upstream in any header.
 *
 * @param sentKey - The key as it was sent.
 */
function dropHeadersWithKey(headers: HeaderList, sentKey: string | undefined): HeaderList {
    if (sentKey === undefined) return headers;
    const key = decodeHeaderText(sentKey);
    return headers.filter(([, value]) => !value.includes(sentKey) && !decodeHeaderText(value).includes(key));
}
