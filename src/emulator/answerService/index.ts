import { Either, Left, Right } from "purify-ts";
import { Clock, HttpRequest, HttpResponse } from "../../ports/index.js";
import { EngineRequest, hashPrefixes, PREFIX_BLOCK_TOKENS } from "../../protocol/index.js";
import { AnswerStream, PrefillPlan } from "../answerStream/index.js";
import { countPromptTokens } from "../answerText/index.js";
import { Batch, EnginePace } from "../batch/index.js";
import { ChatLedger } from "../chatLedger/index.js";
import { RequestFault } from "../engineFaults/index.js";
import { KvState } from "../kvTransfer/index.js";
import { CacheListener, PrefixCache } from "../prefixCache/index.js";

/** How an engine answers. */
export interface AnswerServiceConfig {
    readonly pace: EnginePace;
    /** How many prefix blocks fit into its cache. */
    readonly cacheBlocks: number;
    /** Mean length of answers whose prompt has no hint, in tokens. */
    readonly meanTokens: number;
}

/** What the answers came to up to now. */
export interface AnswerStats {
    readonly running: number;
    readonly queued: number;
    readonly requests: number;
    readonly tokens: number;
    /** Prompt tokens that had to be computed, and those that the cache held. */
    readonly computedPromptTokens: number;
    readonly cachedPromptTokens: number;
    readonly cancelled: number;
    /** Streams whose other end went away before they were whole. */
    readonly abandoned: number;
}

/** A KV state that the engine does not have. */
export class NoKvStateError extends Error {}

const EVENT_STREAM_HEADERS = [["content-type", "text/event-stream"], ["cache-control", "no-cache"]] as const;
/** How many ended requests' KV states can still be exported. */
const KEPT_KV_STATES = 256;

/** The answers of one engine: its batch, its cache and the streams under way. */
export class AnswerService {
    readonly batch: Batch;
    private readonly cache: PrefixCache;
    private readonly streams = new Set<AnswerStream>();
    private readonly kvStates = new Map<string, KvState>();
    private readonly imported = new Map<string, KvState>();
    private requests = 0;
    private tokens = 0;
    private computedPromptTokens = 0;
    private cachedPromptTokens = 0;
    private cancelled = 0;
    private abandoned = 0;

    /**
     * @param clock - Time for the steps.
     * @param cfg - How it answers.
     * @param ledger - Where streams are recorded.
     * @param listener - Told of each change of the cache.
     */
    constructor(
        private readonly clock: Clock,
        private readonly cfg: AnswerServiceConfig,
        private readonly ledger: ChatLedger,
        listener: CacheListener,
    ) {
        this.batch = new Batch(clock, cfg.pace);
        this.cache = new PrefixCache(cfg.cacheBlocks, listener);
    }

    /** How many streams are open. */
    get openStreams(): number {
        return this.streams.size;
    }

    /** The share of the cache in use, from 0 to 1. */
    get cacheUse(): number {
        return Math.min(1, this.cache.size / this.cfg.cacheBlocks);
    }

    /** Answers one request; settles once its stream has ended. */
    async answer(body: EngineRequest, req: HttpRequest, res: HttpResponse, fault?: RequestFault): Promise<void> {
        this.requests++;
        if (fault?.kind === "late") await this.clock.sleep(fault.delayMs, req.closed);
        res.head(200, EVENT_STREAM_HEADERS);
        await new Promise<void>(resolve => {
            const stream: AnswerStream = new AnswerStream(body, res, {
                fault,
                meanTokens: this.cfg.meanTokens,
                planPrefill: () => this.planPrefill(body),
                onEnd: () => {
                    this.endStream(stream);
                    resolve();
                },
            });
            this.streams.add(stream);
            req.closed.addEventListener("abort", () => this.abandon(stream));
            this.batch.add(stream);
        });
    }

    /** Ends a request's streams with a truthful last event; harmless when there is none. */
    cancel(requestId: string): void {
        for (const stream of this.findStreams(requestId)) {
            this.cancelled++;
            stream.finish("cancelled");
        }
    }

    /** Gives a request's KV state, running or lately ended. */
    exportKv(requestId: string): Either<NoKvStateError, KvState> {
        const [running] = this.findStreams(requestId);
        const state = running ? describeKv(running) : this.kvStates.get(requestId);
        return state ? Right(state) : Left(new NoKvStateError(requestId));
    }

    /** Takes over a request's KV state from another engine. */
    importKv(state: KvState): void {
        this.imported.set(state.request_id, state);
        this.cache.keep(state.prefixes);
    }

    /** Resets every open stream. */
    cutAll(): void {
        for (const stream of [...this.streams]) stream.cut();
    }

    /** What the answers came to up to now. */
    stats(): AnswerStats {
        return {
            running: this.batch.runningCount,
            queued: this.batch.waitingCount,
            requests: this.requests,
            tokens: this.tokens + [...this.streams].reduce((sum, stream) => sum + stream.produced, 0),
            computedPromptTokens: this.computedPromptTokens,
            cachedPromptTokens: this.cachedPromptTokens,
            cancelled: this.cancelled,
            abandoned: this.abandoned,
        };
    }

    private findStreams(requestId: string): AnswerStream[] {
        return [...this.streams].filter(stream => stream.req.request_id === requestId);
    }

    private planPrefill(req: EngineRequest): PrefillPlan {
        const promptTokens = countPromptTokens(req.messages);
        const resumed = req.resume?.offset ?? 0;
        const cachedBlocks = this.cache.use(hashPrefixes(req.messages));
        const cachedTokens = Math.min(promptTokens, cachedBlocks * PREFIX_BLOCK_TOKENS);
        const importedTokens = this.imported.get(req.request_id)?.tokens ?? 0;
        const computeTokens = Math.max(0, promptTokens + resumed - Math.max(cachedTokens, importedTokens));
        this.imported.delete(req.request_id);
        this.computedPromptTokens += computeTokens;
        this.cachedPromptTokens += cachedTokens;
        return { promptTokens, cachedTokens, computeTokens };
    }

    private abandon(stream: AnswerStream): void {
        if (stream.ended === undefined) this.abandoned++;
        stream.abandon();
    }

    private endStream(stream: AnswerStream): void {
        this.streams.delete(stream);
        this.batch.remove(stream);
        this.tokens += stream.produced;
        this.ledger.record(stream.req.request_id, stream.produced);
        this.kvStates.set(stream.req.request_id, describeKv(stream));
        if (this.kvStates.size > KEPT_KV_STATES) this.kvStates.delete(this.kvStates.keys().next().value!);
    }
}

function describeKv(stream: AnswerStream): KvState {
    const { messages, request_id } = stream.req;
    return {
        request_id,
        prefixes: hashPrefixes(messages),
        tokens: countPromptTokens(messages) + stream.nextOffset,
    };
}
