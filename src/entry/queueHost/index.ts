import { ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { CallDialect } from "../../passthrough/index.js";
import { Address, Clock, DEFAULT_HTTP_LIMITS, Http, Network, Random } from "../../ports/index.js";
import { RegistryTiming } from "../../upstream/index.js";
import { PeerIdentity, PeerRouter, PeerTiming } from "../../wire/index.js";
import { DEFAULT_ENTRY_LIMITS } from "../entryContext/index.js";
import { EntryProcess } from "../entryProcess/index.js";

/** It sends no calls, so it repeats none. */
const NO_REPEATS = { ratio: 0, windowMs: 1_000, slack: 0 };

/** What a queue host is made of. */
export interface QueueHostOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: Network;
    readonly http: Http;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: PeerIdentity;
    readonly zone: ZoneId;
    readonly region: string;
    /** Where entries reach it: the address of the control process on its host. */
    readonly peers: Address;
    /** That control process' router, which gets the methods of the queues. */
    readonly sharedRouter: PeerRouter;
    readonly controlPeers: readonly Address[];
    readonly dialect: CallDialect;
    readonly timing: PeerTiming;
    readonly registryTiming?: RegistryTiming;
    readonly windowMs: number;
}

/**
 * Starts what owns the queues of routed pools on a host that serves no callers.
 *
 * Answers fleets of many small entries: the tickets of all of them meet at the owner of a pool, more than the link and the processor of one
 * entry bear. Hosts of control processes are few and larger, and are reached from everywhere anyway.
 *
 * @param options - Where it runs, and the control processes that it follows.
 * @returns The process; ending it hands the queues over.
 * @throws NetworkError when the address is taken.
 * @example
 * const queues = await startQueueHost({ ...ports, peers, sharedRouter: control.router, controlPeers, dialect, ...rest });
 */
export function startQueueHost(options: QueueHostOptions): Promise<EntryProcess> {
    const { dialect, windowMs } = options;
    return EntryProcess.start({
        ...options,
        ownsQueues: true,
        callerLimits: DEFAULT_HTTP_LIMITS,
        limits: DEFAULT_ENTRY_LIMITS,
        balancerMs: 0,
        routes: { dialect, repeats: NO_REPEATS, startsWindowMs: windowMs },
    });
}
