import {
    AcceptAllAdmission,
    BASELINE_POLICIES,
    DEFAULT_POLICIES,
    DispatchPolicies,
    FifoOrder,
    NoPreemption,
    PredictedWaitAdmission,
} from "../../../dispatch/index.js";
import { PoolId, ZoneId } from "../../../ids/index.js";
import { CoverPurchase, DEFAULT_COVER, PurchasePolicy, StaticPurchase } from "../../../purchase/index.js";
import {
    LeastOutstandingPolicy,
    NoStragglerPolicy,
    RoundRobinPolicy,
    TwoRandomChoicesPolicy,
} from "../../../upstream/index.js";
import { Deployment } from "../deployment/index.js";

/** Combination of policies for all decisions of one run. */
export interface PolicySet {
    readonly name: string;
    readonly dispatch: DispatchPolicies;
    /** `owner`: one entry owns each pool's queue; `local`: each entry queues and dispatches its own requests. */
    readonly queues: "owner" | "local";
    /** Whether an interrupted answer continues after its last token instead of starting again. */
    readonly resumesAnswers: boolean;
    /** Whether a budget limits retries. */
    readonly limitsRetries: boolean;
    readonly createPurchase: (deployment: Deployment) => PurchasePolicy;
}

/** Keeps enough non-reclaimable upstreams for the peak running throughout. */
function createStaticOnDemand(deployment: Deployment): PurchasePolicy {
    const counts = deployment.pools.map(({ pool, engines }) => ({
        pool: pool as PoolId,
        reclaimable: false,
        count: engines,
    }));
    return new StaticPurchase(counts, deployment.zones as ZoneId[]);
}

/** Time for which surplus upstreams are kept: a part of the scenario, as the default is a part of a day. */
const BENCH_HOLD_MS = 20_000;

function createCoverPurchase(): PurchasePolicy {
    return new CoverPurchase({ ...DEFAULT_COVER, holdMs: BENCH_HOLD_MS });
}

const BASELINE: PolicySet = {
    name: "baseline",
    dispatch: BASELINE_POLICIES,
    queues: "local",
    resumesAnswers: false,
    limitsRetries: false,
    createPurchase: createStaticOnDemand,
};

const SEQUOIAMUX: PolicySet = {
    name: "sequoiamux",
    dispatch: DEFAULT_POLICIES,
    queues: "owner",
    resumesAnswers: true,
    limitsRetries: true,
    createPurchase: createCoverPurchase,
};

/** Policy sets that every run of the bench compares. */
export const MAIN_SETS: readonly PolicySet[] = [
    BASELINE,
    {
        ...SEQUOIAMUX,
        name: "local-two-choices",
        queues: "local",
        dispatch: {
            ...DEFAULT_POLICIES,
            createChoice: dependencies => new TwoRandomChoicesPolicy(dependencies.random),
        },
    },
    SEQUOIAMUX,
];

/** The shipped policy set with one decision each replaced by a simpler policy; run with `--ablations`. */
export const ABLATIONS: readonly PolicySet[] = [
    { ...SEQUOIAMUX, name: "static-on-demand", createPurchase: createStaticOnDemand },
    { ...SEQUOIAMUX, name: "fifo", dispatch: { ...DEFAULT_POLICIES, createOrder: () => new FifoOrder() } },
    {
        ...SEQUOIAMUX,
        name: "predicted-wait",
        dispatch: { ...DEFAULT_POLICIES, createAdmission: () => new PredictedWaitAdmission() },
    },
    {
        ...SEQUOIAMUX,
        name: "accept-all",
        dispatch: { ...DEFAULT_POLICIES, createAdmission: () => new AcceptAllAdmission() },
    },
    {
        ...SEQUOIAMUX,
        name: "no-preemption",
        dispatch: { ...DEFAULT_POLICIES, createPreemption: () => new NoPreemption() },
    },
    {
        ...SEQUOIAMUX,
        name: "keep-stragglers",
        dispatch: { ...DEFAULT_POLICIES, createStragglers: () => new NoStragglerPolicy() },
    },
    {
        ...SEQUOIAMUX,
        name: "round-robin",
        dispatch: { ...DEFAULT_POLICIES, createChoice: () => new RoundRobinPolicy() },
    },
    {
        ...SEQUOIAMUX,
        name: "least-outstanding",
        dispatch: { ...DEFAULT_POLICIES, createChoice: () => new LeastOutstandingPolicy() },
    },
    { ...SEQUOIAMUX, name: "local", queues: "local" },
    { ...SEQUOIAMUX, name: "no-resume", resumesAnswers: false },
];
