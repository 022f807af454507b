import { CallDialect } from "../../passthrough/index.js";
import { Address, DEFAULT_HTTP_LIMITS } from "../../ports/index.js";
import { PeerRouter } from "../../wire/index.js";
import { DEFAULT_ENTRY_LIMITS } from "../entryContext/index.js";
import { EntryOptions, EntryProcess } from "../entryProcess/index.js";

/** It sends no calls, so it repeats none. */
const NO_REPEATS = { ratio: 0, windowMs: 1_000, slack: 0 };

/** What an entry takes that a queue host takes too. */
type SharedOption =
    | "clock"
    | "random"
    | "network"
    | "http"
    | "logger"
    | "metrics"
    | "self"
    | "zone"
    | "region"
    | "controlPeers"
    | "timing"
    | "registryTiming"
    | "windowMs";

/** What a queue host is made of. */
export interface QueueHostOptions extends Pick<EntryOptions, SharedOption> {
    /** Where entries reach it: the address of the control process on its host. */
    readonly peers: Address;
    /** That control process' router, which gets the methods of the queues. */
    readonly sharedRouter: PeerRouter;
    readonly dialect: CallDialect;
}

/**
 * Starts what owns the queues of routed pools on a host that serves no callers.
 *
 * Answers fleets of many small entries: the tickets of all of them meet at the owner of a pool, more than the link and the processor of one
 * entry bear. Hosts of control processes are few and larger, and are reached from everywhere anyway.
 *
 * @param options - Where it runs, and the control processes that it follows.
 * @returns The process; ending it hands the queues over.
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
