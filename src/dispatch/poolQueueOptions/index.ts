import { PoolId, RequestId, ZoneId } from "../../ids/index.js";
import { Clock, Random } from "../../ports/index.js";
import { PoolMembers, PrefixIndex } from "../../upstream/index.js";
import { DispatchObserver } from "../dispatchObserver/index.js";
import { DispatchPolicies } from "../dispatchPolicies/index.js";
import { LengthEstimator } from "../lengthEstimator/index.js";

/** Options of `PoolQueue`. */
export interface PoolQueueOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly pool: PoolId;
    /** The zone that this process runs in. */
    readonly zone: ZoneId;
    /** The upstreams of the pool and their load. */
    readonly members: PoolMembers;
    /** Maps prompt prefixes to the upstreams that probably cache them. */
    readonly prefixes: PrefixIndex;
    /** Predicts the answer lengths of new tickets. */
    readonly lengths: LengthEstimator;
    readonly policies: DispatchPolicies;
    readonly observer: DispatchObserver;
    /** Asks the sender of a running request to cancel it and to submit it again. */
    readonly preempt: (request: RequestId) => void;
    /** Monotonic time from which upstreams could be discovered, in milliseconds. */
    readonly startedAt: number;
    /** The KV cache capacity of each upstream of a pool, in tokens; undefined where it is unknown. */
    readonly capacityOf?: (pool: PoolId) => number | undefined;
}
