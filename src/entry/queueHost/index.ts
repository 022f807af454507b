import { CallDialect } from "../../passthrough/index.js";
import { Address, DEFAULT_HTTP_LIMITS } from "../../ports/index.js";
import { PeerRouter } from "../../wire/index.js";
import { DEFAULT_ENTRY_LIMITS } from "../entryContext/index.js";
import { EntryOptions, EntryProcess } from "../entryProcess/index.js";

/** A queue host sends no calls and therefore needs no retry budget. */
const NO_RETRIES = { ratio: 0, windowMs: 1_000, slack: 0 };

/** Names of the entry options that a queue host has too. */
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

/** Options of `startQueueHost`. */
export interface QueueHostOptions extends Pick<EntryOptions, SharedOption> {
    /** Address at which entries reach it: that of the control process on the same host. */
    readonly peers: Address;
    /** Peer router of that control process, to which the queues' methods are added. */
    readonly sharedRouter: PeerRouter;
    readonly dialect: CallDialect;
}

/**
 * Starts an entry process that owns the queues of routed pools on a control process's host and serves no callers.
 *
 * In a fleet of many small entries, the tickets of all entries go to the owner of a pool, which exceeds the network and processor
 * capacity of one entry. Hosts of control processes are few and larger, and all entries are connected to them anyway.
 *
 * @param options - Ports, addresses and control processes.
 * @returns The process; when it ends, its queues are handed over.
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
        routes: { dialect, repeats: NO_RETRIES, startsWindowMs: windowMs },
    });
}
