import { Either, Left } from "purify-ts";
import { LocalDispatcher, SendGuard } from "../../dispatch/index.js";
import { HostId, PoolId } from "../../ids/index.js";
import { Logger, RejectionLog } from "../../logging/index.js";
import { CallDialect } from "../../passthrough/index.js";
import { Clock, readReplyText, readWithin } from "../../ports/index.js";
import { ReadEntries } from "../../protocol/index.js";
import { RouteTable } from "../../routing/index.js";
import { PromptPart, Upstream, UpstreamHttp, UpstreamRegistry } from "../../upstream/index.js";
import { FleetDispatcher } from "../fleetDispatcher/index.js";

/** Interval between checks for upstreams not yet queried, in milliseconds. A new upstream gets its first call after about the same time. */
const QUERY_INTERVAL_MS = 50;
/** Interval between checks for queue ownership while this process owns no queue, in milliseconds. */
const OWNERSHIP_CHECK_INTERVAL_MS = 200;
/** Time for the head of an upstream's answer, and for the list after it, in milliseconds; a later list would be out of date. */
const ANSWER_TIMEOUT_MS = 500;
const CONNECT_TIMEOUT_MS = 250;
/** Maximum size of a list, in bytes: about ten thousand prompt parts. */
const MAX_LIST_BYTES = 1024 * 1024;

/** Options of `CacheDiscovery`. */
export interface CacheDiscoveryOptions {
    readonly clock: Clock;
    readonly upstreamHttp: UpstreamHttp;
    readonly logger: Logger;
    readonly self: HostId;
    /** Formats the query and parses the list in the engines' protocol. */
    readonly dialect: CallDialect;
    readonly registry: UpstreamRegistry;
    readonly local: LocalDispatcher;
    /** Checks upstreams by what they state in their answers. */
    readonly sendGuard: SendGuard;
    readonly dispatcher: Pick<FleetDispatcher, "ownerOf">;
    /** Current routes; undefined until a fleet document is known. */
    readonly routes: () => RouteTable | undefined;
}

/**
 * Queries the engines of each pool whose queue this entry has come to own for the prompt parts in their KV caches.
 *
 * Covers the loss of an owner, and of all processes at once: without it, the new owner does not know the engines' caches and sends prompts
 * to engines that must prefill the shared parts again, which delays everything queued behind them. One query per engine suffices, since the
 * owner tracks what it sends from then on. That knowledge ages while another entry owns the queue, so the engines are queried again when
 * ownership returns.
 *
 * @example
 * lifecycle.run(signal => new CacheDiscovery(options).run(signal), logError);
 */
export class CacheDiscovery {
    /** By pool and upstream, the incarnation in which the engine was queried. */
    private readonly queried = new Map<PoolId, Map<string, number>>();

    private readonly rejections: RejectionLog;

    constructor(private readonly options: CacheDiscoveryOptions) {
        this.rejections = new RejectionLog(options);
    }

    /** Queries new engines until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const ownsAny = this.queryNewUpstreams(signal);
            await this.options.clock.sleepToTick(ownsAny ? QUERY_INTERVAL_MS : OWNERSHIP_CHECK_INTERVAL_MS, signal);
        }
    }

    /** @returns Whether this process owns the queue of any pool of engines. */
    private queryNewUpstreams(signal: AbortSignal): boolean {
        const { routes, dispatcher, self, registry } = this.options;
        let ownsAny = false;
        for (const { pool, engine } of routes()?.listPools() ?? []) {
            if (!engine) continue;
            if (dispatcher.ownerOf(pool) !== self) {
                this.queried.delete(pool);
                continue;
            }
            ownsAny = true;
            for (const upstream of registry.list(pool)) {
                if (this.mayQuery(upstream) && this.markQueried(pool, upstream)) {
                    void this.query(pool, upstream, signal);
                }
            }
        }
        return ownsAny;
    }

    private mayQuery({ id, isGrantable, announcement: { incarnation } }: Upstream): boolean {
        return isGrantable && !this.options.sendGuard.findBlock({ upstream: id, incarnation });
    }

    /** @returns Whether the upstream's present incarnation had not been queried before. */
    private markQueried(pool: PoolId, { id, announcement }: Upstream): boolean {
        let known = this.queried.get(pool);
        if (!known) this.queried.set(pool, known = new Map());
        if (known.get(id) === announcement.incarnation) return false;
        known.set(id, announcement.incarnation);
        return true;
    }

    private async query(pool: PoolId, upstream: Upstream, signal: AbortSignal): Promise<void> {
        const { local, logger } = this.options;
        const listed = await this.fetchList(pool, upstream, signal);
        const { id } = upstream;
        listed
            .ifLeft(err => logger.warn("cache-not-listed", { pool, upstream: id, problem: err.message }))
            .ifRight(({ entries: parts, rejected, problem = "" }) => {
                if (rejected > 0) this.rejections.record("cached-parts", rejected, problem);
                local.recordHeldParts(pool, id, parts);
                logger.info("cache-listed", { pool, upstream: id, parts: parts.length });
            });
    }

    private async fetchList(
        pool: PoolId,
        { id, address, announcement: { incarnation } }: Upstream,
        signal: AbortSignal,
    ): Promise<Either<Error, ReadEntries<PromptPart>>> {
        const { clock, upstreamHttp, dialect, sendGuard } = this.options;
        const target = { pool, upstream: id, incarnation, address };
        const sent = await upstreamHttp.send({
            target,
            ...dialect.writeCacheQuery(id),
            newConnection: false,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            headTimeoutMs: ANSWER_TIMEOUT_MS,
            signal,
        });
        if (sent.isLeft()) return sent as Either<Error, never>;
        const reply = sent.unsafeCoerce();
        const { signals, misdirected } = dialect.readReply(reply);
        if (!misdirected) sendGuard.recordAnswer({ pool, upstream: id, incarnation, request: undefined, signals });
        try {
            const readText = (): Promise<string> => readReplyText(reply, MAX_LIST_BYTES);
            const text = await readWithin(reply, clock, ANSWER_TIMEOUT_MS, readText);
            return dialect.readCacheList(reply.status, text);
        }
        catch (err) {
            return Left(err as Error);
        }
    }
}
