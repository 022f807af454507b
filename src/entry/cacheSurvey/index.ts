import { Either, Left } from "purify-ts";
import { LocalDispatcher } from "../../dispatch/index.js";
import { HostId, PoolId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { CallDialect } from "../../passthrough/index.js";
import { Clock, Http, readReplyText } from "../../ports/index.js";
import { RouteTable } from "../../routing/index.js";
import { PromptPart, Upstream, UpstreamRegistry } from "../../upstream/index.js";
import { FleetDispatcher } from "../fleetDispatcher/index.js";

/** How often the survey looks for upstreams that it has not asked, in milliseconds: one that boots takes its first call within as much. */
const LOOK_EVERY_MS = 50;
/** How often a process looks whether it has come to own a queue, in milliseconds. */
const IDLE_LOOK_MS = 200;
/** How long an upstream may take to answer, in milliseconds: later its list is out of date. */
const ANSWER_MS = 500;
const CONNECT_MS = 250;
/** The longest list that is read, in bytes: some ten thousand parts. */
const MOST_LIST_BYTES = 1024 * 1024;

/** What a survey is made of. */
export interface CacheSurveyOptions {
    readonly clock: Clock;
    readonly http: Http;
    readonly logger: Logger;
    readonly self: HostId;
    readonly dialect: CallDialect;
    readonly registry: UpstreamRegistry;
    readonly local: LocalDispatcher;
    readonly dispatcher: Pick<FleetDispatcher, "ownerOf">;
    readonly routes: () => RouteTable | undefined;
}

/**
 * Asks the engines of each pool whose queue this entry has come to own which parts of prompts they hold.
 *
 * Answers the loss of an owner, and of all processes at once: the new owner knows nothing of the engines' memories and sends prompts where
 * their shared parts must be read again, which takes the time of all that waits behind them. One question for each engine is all that it
 * takes; what is sent from then on, the owner knows by itself. While another entry owns the queue that knowledge ages, so the engines
 * are asked anew when it comes back.
 *
 * @example
 * lifecycle.run(signal => new CacheSurvey(options).run(signal), logError);
 */
export class CacheSurvey {
    /** The engines asked, by pool, each with the life that it was asked in. */
    private readonly asked = new Map<PoolId, Map<string, number>>();

    constructor(private readonly options: CacheSurveyOptions) {}

    /** Asks until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const ownsAny = this.askNewcomers(signal);
            await this.options.clock.sleepToTick(ownsAny ? LOOK_EVERY_MS : IDLE_LOOK_MS, signal);
        }
    }

    /** Gives whether the queue of any engines' pool is owned here. */
    private askNewcomers(signal: AbortSignal): boolean {
        const { routes, dispatcher, self, registry } = this.options;
        let ownsAny = false;
        for (const { pool, engine } of routes()?.listPools() ?? []) {
            if (!engine) continue;
            if (dispatcher.ownerOf(pool) !== self) {
                this.asked.delete(pool);
                continue;
            }
            ownsAny = true;
            for (const upstream of registry.list(pool)) {
                if (upstream.isGrantable && this.isNew(pool, upstream)) void this.ask(pool, upstream, signal);
            }
        }
        return ownsAny;
    }

    private isNew(pool: PoolId, { id, announcement }: Upstream): boolean {
        let asked = this.asked.get(pool);
        if (!asked) this.asked.set(pool, asked = new Map());
        if (asked.get(id) === announcement.incarnation) return false;
        asked.set(id, announcement.incarnation);
        return true;
    }

    private async ask(pool: PoolId, upstream: Upstream, signal: AbortSignal): Promise<void> {
        const { local, logger } = this.options;
        const listed = await this.readList(upstream, signal);
        const { id } = upstream;
        listed
            .ifLeft(err => logger.warn("cache-not-listed", { pool, upstream: id, problem: err.message }))
            .ifRight(parts => {
                local.learnHeld(pool, id, parts);
                logger.info("cache-listed", { pool, upstream: id, parts: parts.length });
            });
    }

    private async readList({ id, address }: Upstream, signal: AbortSignal): Promise<Either<Error, PromptPart[]>> {
        const { http, dialect } = this.options;
        const sent = await http.send({
            address,
            ...dialect.writeCacheQuery(id),
            fresh: false,
            connectTimeoutMs: CONNECT_MS,
            headTimeoutMs: ANSWER_MS,
            signal,
        });
        if (sent.isLeft()) return sent as Either<Error, never>;
        const reply = sent.unsafeCoerce();
        try {
            return dialect.readCacheList(reply.status, await readReplyText(reply, MOST_LIST_BYTES));
        }
        catch (err) {
            return Left(err as Error);
        }
    }
}
