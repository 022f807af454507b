import { PoolId, RequestId, ZoneId } from "../../ids/index.js";
import { Clock, Random } from "../../ports/index.js";
import { PoolMembers, PrefixIndex } from "../../upstream/index.js";
import { LengthEstimator } from "../lengths/index.js";
import { DispatchObserver } from "../observer/index.js";
import { DispatchPolicies } from "../policies/index.js";

/** What a pool's queue works with. */
export interface PoolQueueOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly pool: PoolId;
    readonly zone: ZoneId;
    readonly members: PoolMembers;
    readonly prefixes: PrefixIndex;
    readonly lengths: LengthEstimator;
    readonly policies: DispatchPolicies;
    readonly observer: DispatchObserver;
    readonly preempt: (request: RequestId) => void;
    /** Monotonic time since when upstreams could have been heard of, in milliseconds. */
    readonly startedAt: number;
    /** How many tokens the memory of a pool's upstreams takes, where that is known. */
    readonly capacityOf?: (pool: PoolId) => number | undefined;
}
