import { LocalDispatcher, QueueState } from "../../dispatch/index.js";
import { HostId, PoolId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { PeerRouter } from "../../wire/index.js";
import { FleetDispatcher } from "../fleetDispatcher/index.js";
import { PeerDirectory } from "../peerDirectory/index.js";

/** Peer method by which an owner of a pool's queue tells other hosts that may own it what it has granted. */
const QUEUE_STATE_METHOD = "dispatch.queue-state";
/** Interval between two notices, in milliseconds. */
const EXCHANGE_INTERVAL_MS = 100;

/** What an owner of a queue has granted, and what waits there. */
interface QueueStateNotice {
    readonly pool: PoolId;
    readonly host: HostId;
    readonly state: QueueState;
}

/** Options of `OwnerExchange`. */
export interface OwnerExchangeOptions {
    readonly clock: Clock;
    readonly self: HostId;
    readonly directory: Pick<PeerDirectory, "linkTo">;
    readonly dispatcher: Pick<FleetDispatcher, "listOwnerCandidates">;
    readonly local: Pick<LocalDispatcher, "pools" | "describeState" | "recordOtherOwner">;
}

/**
 * Exchanges what each owner of a pool's queue has granted between the hosts that may own it, so that two owners at the same time do not
 * use the same slots twice, and the next owner knows what runs.
 *
 * @example
 * exchange.addTo(router);
 * lifecycle.run(signal => exchange.run(signal), logError);
 */
export class OwnerExchange {
    /** Pools of which others were told that requests run or wait here. */
    private readonly reported = new Set<PoolId>();

    constructor(private readonly options: OwnerExchangeOptions) {}

    /** Registers the method that other owners call. */
    addTo(router: PeerRouter): void {
        router.add(QUEUE_STATE_METHOD, body => {
            const { pool, host, state } = body as QueueStateNotice;
            this.options.local.recordOtherOwner(pool, host, state);
        });
    }

    /** Tells the other hosts until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(EXCHANGE_INTERVAL_MS, signal);
            if (signal.aborted) return;
            for (const pool of this.options.local.pools()) this.report(pool);
        }
    }

    private report(pool: PoolId): void {
        const { self, directory, dispatcher, local } = this.options;
        const state = local.describeState(pool);
        if (!state) return;
        const isIdle = state.uses.length === 0 && state.waiting.length === 0;
        if (isIdle && !this.reported.has(pool)) return;
        if (isIdle) this.reported.delete(pool);
        else this.reported.add(pool);
        const notice: QueueStateNotice = { pool, host: self, state };
        for (const host of dispatcher.listOwnerCandidates(pool)) {
            if (host !== self) directory.linkTo(host)?.notify(QUEUE_STATE_METHOD, notice);
        }
    }
}
