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
    LeastOutstandingChoice,
    NoStragglerPolicy,
    RoundRobinChoice,
    TwoRandomChoices,
} from "../../../upstream/index.js";
import { Deployment } from "../deployment/index.js";

/** All decisions of one run of the bench. */
export interface PolicySet {
    readonly name: string;
    readonly dispatch: DispatchPolicies;
    /** `owner`: one entry owns each pool's queue; `local`: each entry decides for its own requests. */
    readonly queues: "owner" | "local";
    /** Continue a cut answer from the last token instead of starting anew. */
    readonly resumes: boolean;
    /** Limit retries by a budget. */
    readonly limitsRetries: boolean;
    readonly createPurchase: (deployment: Deployment) => PurchasePolicy;
}

/** Steady upstreams for the peak, all the time. */
function createStaticOnDemand(deployment: Deployment): PurchasePolicy {
    const counts = deployment.pools.map(({ pool, engines }) => ({
        pool: pool as PoolId,
        reclaimable: false,
        count: engines,
    }));
    return new StaticPurchase(counts, deployment.zones as ZoneId[]);
}

/** The surplus is held for a part of the scenario, as it would be for a part of a day. */
const BENCH_HOLD_MS = 20_000;

function createCover(): PurchasePolicy {
    return new CoverPurchase({ ...DEFAULT_COVER, holdMs: BENCH_HOLD_MS });
}

const BASELINE: PolicySet = {
    name: "baseline",
    dispatch: BASELINE_POLICIES,
    queues: "local",
    resumes: false,
    limitsRetries: false,
    createPurchase: createStaticOnDemand,
};

const SEQUOIAMUX: PolicySet = {
    name: "sequoiamux",
    dispatch: DEFAULT_POLICIES,
    queues: "owner",
    resumes: true,
    limitsRetries: true,
    createPurchase: createCover,
};

/** Run and compared each time. */
export const MAIN_SETS: readonly PolicySet[] = [
    BASELINE,
    {
        ...SEQUOIAMUX,
        name: "local-two-choices",
        queues: "local",
        dispatch: { ...DEFAULT_POLICIES, createChoice: parts => new TwoRandomChoices(parts.random) },
    },
    SEQUOIAMUX,
];

/** One decision taken back to its baseline, the others kept. Run with `--ablations`. */
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
        dispatch: { ...DEFAULT_POLICIES, createChoice: () => new RoundRobinChoice() },
    },
    {
        ...SEQUOIAMUX,
        name: "least-outstanding",
        dispatch: { ...DEFAULT_POLICIES, createChoice: () => new LeastOutstandingChoice() },
    },
    { ...SEQUOIAMUX, name: "local", queues: "local" },
    { ...SEQUOIAMUX, name: "no-resume", resumes: false },
];
