import { Random } from "../../ports/index.js";
import {
    ExpectedTimePolicy,
    FirstTokenPolicy,
    MedianStragglerPolicy,
    NoStragglerPolicy,
    PrefixIndex,
    RoundRobinPolicy,
    SelectionPolicy,
    StragglerPolicy,
} from "../../upstream/index.js";
import { AcceptAllAdmission, AdmissionPolicy, DeadlineAdmission } from "../admissionPolicy/index.js";
import { FifoOrder, OrderPolicy, TierFairOrder } from "../order/index.js";
import { NoPreemption, PreemptionPolicy, TierPreemption } from "../preemptionPolicy/index.js";

/** Dependencies of a pool's selection policy. */
export interface ChoiceDependencies {
    readonly random: Random;
    readonly prefixes: PrefixIndex;
    /** The KV cache capacity of each upstream of the pool, in tokens; undefined where it is unknown. */
    readonly capacity: () => number | undefined;
}

/** Factories of the policies of a pool. */
export interface DispatchPolicies {
    readonly createOrder: () => OrderPolicy;
    readonly createAdmission: () => AdmissionPolicy;
    readonly createPreemption: () => PreemptionPolicy;
    readonly createStragglers: () => StragglerPolicy;
    readonly createChoice: (dependencies: ChoiceDependencies) => SelectionPolicy;
}

/** The default policies of production. */
export const DEFAULT_POLICIES: DispatchPolicies = {
    createOrder: () => new TierFairOrder(),
    createAdmission: () => new DeadlineAdmission(),
    createPreemption: () => new TierPreemption(),
    createStragglers: () => new MedianStragglerPolicy(),
    createChoice: dependencies => new ExpectedTimePolicy(dependencies.prefixes),
};

/**
 * The policies of pools whose calls are routed by the fleet document. Their engines queue and preempt by priority
 * themselves, and a late answer still has value: no request is shed for a missed target, only for an expired wait.
 */
export const ROUTED_POLICIES: DispatchPolicies = {
    createOrder: () => new TierFairOrder(),
    createAdmission: () => new AcceptAllAdmission(),
    createPreemption: () => new NoPreemption(),
    createStragglers: () => new NoStragglerPolicy(),
    createChoice: ({ capacity }) => new FirstTokenPolicy(capacity),
};

/** The simplest policy of each kind, as a baseline for comparisons. */
export const BASELINE_POLICIES: DispatchPolicies = {
    createOrder: () => new FifoOrder(),
    createAdmission: () => new AcceptAllAdmission(),
    createPreemption: () => new NoPreemption(),
    createStragglers: () => new NoStragglerPolicy(),
    createChoice: () => new RoundRobinPolicy(),
};
