import { Either } from "purify-ts";
import { EventRules } from "../../eventStream/index.js";
import { RequestId, UpstreamId, WorkspaceId } from "../../ids/index.js";
import { Address, HeaderList, HttpReply, HttpRequest } from "../../ports/index.js";
import { ReadEntries } from "../../protocol/index.js";
import { PromptPart, UpstreamSignals } from "../../upstream/index.js";
import { CallError } from "../callError/index.js";

/** Contents of a caller's request head, besides method and path. */
export interface CallHead {
    /** The caller's id of this attempt, passed to the upstream unchanged. */
    readonly request: RequestId;
    /** The API key sent with the call. */
    readonly key: string | undefined;
    /** Time limit of the caller, counted from when it sent the call, in milliseconds. */
    readonly deadlineMs: number | undefined;
    readonly model: string | undefined;
    readonly promptTokens: number;
    /** Maximum length of the answer, in tokens; 0 when not stated. */
    readonly maxTokens: number;
    /** The caller's estimate of the answer's length, in tokens; often far off. */
    readonly hintedTokens: number | undefined;
    /** The parts of the prompt, in order. */
    readonly parts: readonly PromptPart[];
    /** The last event that the caller has received, when it resumes a stream. */
    readonly lastEventId: string | undefined;
    /** The caller's ids of the attempts that it says brought the stream's first event; one where it resumes a stream correctly. */
    readonly resumes: readonly RequestId[];
    /**
     * Headers forwarded to the upstream unchanged: without the key, hop-by-hop headers and headers that this system
     * sets.
     */
    readonly headers: HeaderList;
}

/** Fields that this system adds to a call for the upstream. */
export interface UpstreamCallFields {
    /** The intended upstream; any other one at the address must refuse the call. */
    readonly upstream: UpstreamId;
    /** Undefined where the route needs no key. */
    readonly workspace: WorkspaceId | undefined;
    /** Time limit for the upstream, in milliseconds. */
    readonly deadlineMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** The event after which the upstream should resume the stream. */
    readonly lastEventId: string | undefined;
    /** The upstream from which to fetch cached parts of the prompt before the prefill of the rest. */
    readonly fetchFrom: Address | undefined;
}

/** Contents of the head of an upstream's answer. */
export interface ReplyHead {
    /** The ids of calls that it states to answer: one, in a correct answer. */
    readonly requests: readonly string[];
    /** Whether the upstream states that it has not run the call and will not. */
    readonly refused: boolean;
    /** Whether another upstream has the address now. */
    readonly misdirected: boolean;
    /** Whether it has the header that marks answers made by an upstream itself. */
    readonly isSigned: boolean;
    /** What the upstream states about itself. */
    readonly signals: UpstreamSignals;
    /** Headers forwarded to the caller unchanged. */
    readonly headers: HeaderList;
}

/** An error answer of this system, as sent to callers. */
export interface ErrorReply {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: string;
}

/** A request to an upstream that is not a call. */
export interface UpstreamQuery {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
}

/** The error for an unreadable list of cached prompt parts of an upstream. */
export class CacheListError extends Error {}

/** Maps calls to and from HTTP heads: the header names and error bodies that callers and upstreams use. */
export abstract class CallDialect {
    /** Name of the header, in lower case, that states to an upstream how many milliseconds remain. */
    abstract readonly deadlineHeader: string;

    /** Number of priorities that upstreams distinguish. */
    abstract readonly priorityLevels: number;

    /** Parses the head of a caller's request. */
    abstract readHead(req: HttpRequest): Either<CallError, CallHead>;

    /** Returns the headers for the upstream: the forwarded ones and those of this system. */
    abstract writeHead(head: CallHead, fields: UpstreamCallFields): HeaderList;

    /** Parses the head of an upstream's answer. */
    abstract readReply(reply: HttpReply): ReplyHead;

    /**
     * Returns what the events of a stream must be like.
     *
     * @param isResumable - Whether the stream may go on at another upstream.
     */
    abstract eventRules(isResumable: boolean): EventRules;

    /**
     * Creates an error answer of this system.
     *
     * @param request - The caller's id of the attempt, when it could be read.
     */
    abstract writeError(err: CallError, request: RequestId | undefined): ErrorReply;

    /** Creates the request for an engine's list of cached prompt parts. */
    abstract writeCacheQuery(upstream: UpstreamId): UpstreamQuery;

    /** Parses the engine's answer to the cache query; entries that can't be used are left out. */
    abstract readCacheList(status: number, body: string): Either<CacheListError, ReadEntries<PromptPart>>;
}
