import { Either, Left, Right } from "purify-ts";
import { Clock, HttpRequest, HttpResponse } from "../../ports/index.js";
import { EngineRequest, hashPrefixes, PREFIX_BLOCK_TOKENS } from "../../protocol/index.js";
import { AnswerStream, PrefillPlan } from "../answerStream/index.js";
import { countPromptTokens } from "../answerText/index.js";
import { Batch, EngineTiming } from "../batch/index.js";
import { ChatLedger } from "../chatLedger/index.js";
import { EngineFault } from "../engineFaults/index.js";
import { KvState } from "../kvTransfer/index.js";
import { CacheListener, PrefixCache } from "../prefixCache/index.js";
import { DEFAULT_SOFTWARE, UpstreamIdentity } from "../upstreamState/index.js";

/** Config of an engine's chat answers. */
export interface AnswerServiceConfig {
    /** Slots and step durations. */
    readonly pace: EngineTiming;
    /** Capacity of the prefix cache, in blocks. */
    readonly cacheBlocks: number;
    /** Mean length of answers whose prompt has no length hint, in tokens. */
    readonly meanTokens: number;
    /** Names the engine's software in the ledger. */
    readonly identity: UpstreamIdentity;
}

/** Counts of an engine's answers so far. */
export interface AnswerStats {
    readonly running: number;
    readonly queued: number;
    readonly requests: number;
    readonly tokens: number;
    /** Tokens computed in prefill, those of resumed answers included. */
    readonly computedPromptTokens: number;
    /** Prompt tokens found in the prefix cache. */
    readonly cachedPromptTokens: number;
    readonly cancelled: number;
    /** Streams whose client disconnected before the end. */
    readonly abandoned: number;
}

/** The engine has no KV state for the request. */
export class KvStateNotFoundError extends Error {}

const EVENT_STREAM_HEADERS = [["content-type", "text/event-stream"], ["cache-control", "no-cache"]] as const;
/** Number of ended requests whose KV state can still be exported. */
const MAX_KEPT_KV_STATES = 256;

/** Answers an engine's chat requests: its batch, its prefix cache and its open streams. */
export class AnswerService {
    readonly batch: Batch;
    private readonly prefixCache: PrefixCache;
    private readonly streams = new Set<AnswerStream>();
    private readonly kvStates = new Map<string, KvState>();
    private readonly importedKvStates = new Map<string, KvState>();
    private requestCount = 0;
    private endedStreamTokens = 0;
    private computedPromptTokens = 0;
    private cachedPromptTokens = 0;
    private cancelledCount = 0;
    private abandonedCount = 0;

    /**
     * @param clock - Times the batch steps.
     * @param cfg - Timing, cache capacity and answer length.
     * @param ledger - Records each stream when it ends.
     * @param listener - Called for each change of the prefix cache.
     */
    constructor(
        private readonly clock: Clock,
        private readonly cfg: AnswerServiceConfig,
        private readonly ledger: ChatLedger,
        listener: CacheListener,
    ) {
        this.batch = new Batch(clock, cfg.pace);
        this.prefixCache = new PrefixCache(cfg.cacheBlocks, listener);
    }

    /** Number of open streams. */
    get openStreamCount(): number {
        return this.streams.size;
    }

    /** Share of the prefix cache in use, from 0 to 1. */
    get cacheUsedShare(): number {
        return Math.min(1, this.prefixCache.size / this.cfg.cacheBlocks);
    }

    /** Answers one request; resolves once its stream has ended. */
    async answer(body: EngineRequest, req: HttpRequest, res: HttpResponse, fault?: EngineFault): Promise<void> {
        this.requestCount++;
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

    /** Ends a request's streams with the finish reason `cancelled` and the actual usage; no-op when there are none. */
    cancel(requestId: string): void {
        for (const stream of this.findStreams(requestId)) {
            this.cancelledCount++;
            stream.finish("cancelled");
        }
    }

    /** Returns the KV state of a running or recently ended request. */
    exportKv(requestId: string): Either<KvStateNotFoundError, KvState> {
        const [running] = this.findStreams(requestId);
        const state = running ? describeKvState(running) : this.kvStates.get(requestId);
        return state ? Right(state) : Left(new KvStateNotFoundError(requestId));
    }

    /** Imports a request's KV state that another engine exported. */
    importKv(state: KvState): void {
        this.importedKvStates.set(state.request_id, state);
        this.prefixCache.keep(state.prefixes);
    }

    /** Resets every open stream. */
    resetAllStreams(): void {
        for (const stream of [...this.streams]) stream.resetConnection();
    }

    /** Returns the counts so far. */
    stats(): AnswerStats {
        return {
            running: this.batch.runningCount,
            queued: this.batch.waitingCount,
            requests: this.requestCount,
            tokens: this.endedStreamTokens + [...this.streams].reduce((sum, stream) => sum + stream.producedTokens, 0),
            computedPromptTokens: this.computedPromptTokens,
            cachedPromptTokens: this.cachedPromptTokens,
            cancelled: this.cancelledCount,
            abandoned: this.abandonedCount,
        };
    }

    private findStreams(requestId: string): AnswerStream[] {
        return [...this.streams].filter(stream => stream.req.request_id === requestId);
    }

    private planPrefill(req: EngineRequest): PrefillPlan {
        const promptTokens = countPromptTokens(req.messages);
        const resumedTokens = req.resume?.offset ?? 0;
        const cachedBlocks = this.prefixCache.use(hashPrefixes(req.messages));
        const cachedTokens = Math.min(promptTokens, cachedBlocks * PREFIX_BLOCK_TOKENS);
        const importedTokens = this.importedKvStates.get(req.request_id)?.tokens ?? 0;
        const computeTokens = Math.max(0, promptTokens + resumedTokens - Math.max(cachedTokens, importedTokens));
        this.importedKvStates.delete(req.request_id);
        this.computedPromptTokens += computeTokens;
        this.cachedPromptTokens += cachedTokens;
        return { promptTokens, cachedTokens, computeTokens };
    }

    private abandon(stream: AnswerStream): void {
        if (stream.outcome === undefined) this.abandonedCount++;
        stream.markAbandoned();
    }

    private endStream(stream: AnswerStream): void {
        this.streams.delete(stream);
        this.batch.remove(stream);
        this.endedStreamTokens += stream.producedTokens;
        const { software = DEFAULT_SOFTWARE } = this.cfg.identity;
        this.ledger.record(stream.req.request_id, stream.producedTokens, software);
        this.kvStates.set(stream.req.request_id, describeKvState(stream));
        if (this.kvStates.size > MAX_KEPT_KV_STATES) this.kvStates.delete(this.kvStates.keys().next().value!);
    }
}

function describeKvState(stream: AnswerStream): KvState {
    const { messages, request_id } = stream.req;
    return {
        request_id,
        prefixes: hashPrefixes(messages),
        tokens: countPromptTokens(messages) + stream.nextOffset,
    };
}
