import { EntryAdmin, HistogramRow, QueueRow, RequestExplanation, UpstreamRow } from "../../control/index.js";
import { LocalDispatcher } from "../../dispatch/index.js";
import { RequestId } from "../../ids/index.js";
import { HistogramTable } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import { KnownRequest, RequestRegistry } from "../../request/index.js";
import { Upstream, UpstreamRegistry } from "../../upstream/index.js";

/** Lists the histograms kept in a process. */
export type HistogramSource = Pick<HistogramTable, "list">;

/** Options of `EntryProcessAdmin`. */
export interface EntryProcessAdminOptions {
    readonly clock: Clock;
    readonly registry: UpstreamRegistry;
    readonly local: LocalDispatcher;
    readonly requests: RequestRegistry;
    readonly histograms: HistogramSource;
    /** Starts a planned stop. */
    readonly drain: () => void;
    /** Stops the process immediately. */
    readonly stop: () => void;
}

/** Implements the operators' API for one entry process. */
export class EntryProcessAdmin extends EntryAdmin {
    constructor(private readonly options: EntryProcessAdminOptions) {
        super();
    }

    async listUpstreams(): Promise<readonly UpstreamRow[]> {
        const now = this.options.clock.monotonic();
        return this.options.registry.listAll().map(upstream => describeUpstream(upstream, now));
    }

    async listQueues(): Promise<readonly QueueRow[]> {
        const now = this.options.clock.monotonic();
        const rows = new Map<string, QueueRow>();
        for (const { ticket, arrivedAt } of this.options.local.listWaiting()) {
            const name = `${ticket.pool} ${ticket.tier} ${ticket.workspace}`;
            const row = rows.get(name);
            rows.set(name, {
                pool: ticket.pool,
                tier: ticket.tier,
                workspace: ticket.workspace,
                waiting: (row?.waiting ?? 0) + 1,
                oldestMs: Math.max(row?.oldestMs ?? 0, Math.round(now - arrivedAt)),
            });
        }
        return [...rows.values()];
    }

    async listHistograms(): Promise<readonly HistogramRow[]> {
        return this.options.histograms.list().map(({ name, tags, count, p50, p90, p99, max }) => ({
            metric: name,
            workspace: tags.workspace ?? "",
            className: tags.class ?? "",
            count,
            p50,
            p90,
            p99,
            max,
        }));
    }

    async explain(request: string): Promise<RequestExplanation | undefined> {
        const known = this.options.requests.find(request as RequestId);
        return known && describeRequest(known);
    }

    async drain(): Promise<void> {
        this.options.drain();
    }

    async stop(): Promise<void> {
        this.options.stop();
    }
}

function describeUpstream(upstream: Upstream, now: number): UpstreamRow {
    const { announcement } = upstream;
    return {
        upstream: upstream.id,
        kind: announcement.kind,
        pools: announcement.pools,
        zone: announcement.zone,
        address: announcement.address,
        state: upstream.state,
        software: upstream.software,
        slots: announcement.slots,
        running: announcement.load.running,
        queued: announcement.load.queued,
        kvUsed: announcement.load.kv_used,
        tokensPerSecond: announcement.load.tokens_per_second,
        reclaimable: announcement.reclaimable,
        pricePerHour: announcement.price_per_hour,
        heardMsAgo: Math.round(now - upstream.announcedAt),
        note: announcement.reclaim_in_ms === undefined ? undefined : "the platform takes it back",
    };
}

function describeRequest({ identity, history }: KnownRequest): RequestExplanation {
    return {
        request: identity.id,
        workspace: identity.workspace,
        className: identity.className,
        tier: identity.tier,
        pool: identity.pool,
        ...history,
    };
}
