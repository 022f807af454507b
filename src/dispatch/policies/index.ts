import { Random } from "../../ports/index.js";
import {
    ExpectedTimeChoice,
    MedianStragglerPolicy,
    NoStragglerPolicy,
    PrefixIndex,
    RoundRobinChoice,
    RoutedChoice,
    StragglerPolicy,
    UpstreamChoice,
} from "../../upstream/index.js";
import { AcceptAllAdmission, AdmissionPolicy, LastMomentAdmission } from "../admission/index.js";
import { FifoOrder, OrderPolicy, TierFairOrder } from "../order/index.js";
import { NoPreemption, PreemptionPolicy, TierPreemption } from "../preemption/index.js";

/** What a policy may draw on when it is made for a pool. */
export interface PolicyParts {
    readonly random: Random;
    readonly prefixes: PrefixIndex;
    /** How many tokens the memory of the pool's upstreams takes, where that is known. */
    readonly capacity: () => number | undefined;
}

/** Makes the policies of a pool. */
export interface DispatchPolicies {
    readonly createOrder: () => OrderPolicy;
    readonly createAdmission: () => AdmissionPolicy;
    readonly createPreemption: () => PreemptionPolicy;
    readonly createStragglers: () => StragglerPolicy;
    readonly createChoice: (parts: PolicyParts) => UpstreamChoice;
}

/** What runs in production. */
export const DEFAULT_POLICIES: DispatchPolicies = {
    createOrder: () => new TierFairOrder(),
    createAdmission: () => new LastMomentAdmission(),
    createPreemption: () => new TierPreemption(),
    createStragglers: () => new MedianStragglerPolicy(),
    createChoice: parts => new ExpectedTimeChoice(parts.prefixes),
};

/**
 * What runs where calls are routed by the fleet document. Engines of such pools queue and preempt by priority themselves, and a late
 * answer is still worth something: nothing is shed for a target that is missed, only for a wait that is over.
 */
export const ROUTED_POLICIES: DispatchPolicies = {
    createOrder: () => new TierFairOrder(),
    createAdmission: () => new AcceptAllAdmission(),
    createPreemption: () => new NoPreemption(),
    createStragglers: () => new NoStragglerPolicy(),
    createChoice: ({ capacity }) => new RoutedChoice(capacity),
};

/** The simplest of each, to measure the others against. */
export const BASELINE_POLICIES: DispatchPolicies = {
    createOrder: () => new FifoOrder(),
    createAdmission: () => new AcceptAllAdmission(),
    createPreemption: () => new NoPreemption(),
    createStragglers: () => new NoStragglerPolicy(),
    createChoice: () => new RoundRobinChoice(),
};
