/** Request class with its targets and its traffic. */
export interface ClassProfile {
    readonly name: string;
    /** Priority tier; 0 is the highest. */
    readonly tier: number;
    readonly pool: string;
    /** Target for the time to the first token, in milliseconds. */
    readonly firstTokenMs: number;
    /** Target for the mean time between tokens, in milliseconds. */
    readonly tokenMs: number;
    readonly maxWaitMs: number;
    readonly guaranteedShare: number;
    readonly resumable: boolean;
    readonly repeatable: boolean;
    /** Requests per second of all workspaces in the steady state. */
    readonly perSecond: number;
    /** Mean length of a prompt, in tokens. */
    readonly promptTokens: number;
    /** Median length of an answer, in tokens; lengths are log-normal. */
    readonly answerTokens: number;
    readonly maxTokens: number;
}

/** Workspace with its fairness weight and its part of the traffic. */
export interface WorkspaceProfile {
    readonly id: string;
    readonly weight: number;
    /** Share of each class's requests, relative to the values of the other workspaces. */
    readonly traffic: number;
}

/** Pool of identical engines. */
export interface PoolProfile {
    readonly pool: string;
    /** Number of engines for the peak load, all of which static purchasing keeps running. */
    readonly engines: number;
    readonly slots: number;
    /** Time for one token of a request that runs alone, in milliseconds. */
    readonly tokenMs: number;
    /** Prefill time for one token that is not cached, in milliseconds. */
    readonly prefillTokenMs: number;
}

/** Installation of one user organization at its present size. */
export interface Deployment {
    readonly name: string;
    readonly zones: readonly string[];
    /** One-way latency between zones, in milliseconds. */
    readonly zoneLatencyMs: number;
    /** One-way latency between callers and entries, in milliseconds. */
    readonly clientLatencyMs: number;
    /** Number of entry hosts. */
    readonly entries: number;
    readonly pools: readonly PoolProfile[];
    readonly classes: readonly ClassProfile[];
    readonly workspaces: readonly WorkspaceProfile[];
    /** Class that gets the additional traffic of a burst. */
    readonly burstClass: string;
}

const MODEL_ENGINE_SLOTS = 16;

/** Creates ten workspaces: two large, three medium-sized, five small. */
function makeWorkspaces(prefix: string): WorkspaceProfile[] {
    const weights = [4, 4, 2, 2, 2, 1, 1, 1, 1, 1];
    return weights.map((weight, index) => ({ id: `${prefix}-${index + 1}`, weight, traffic: weight }));
}

/** Deployment of the Reykjanes Municipal Provisioning Utility. */
export const UTILITY: Deployment = {
    name: "utility",
    zones: ["keflavik", "grindavik", "sandgerdi", "vogar"],
    zoneLatencyMs: 1,
    clientLatencyMs: 4,
    entries: 7,
    pools: [
        { pool: "draft", engines: 8, slots: MODEL_ENGINE_SLOTS, tokenMs: 20, prefillTokenMs: 0.25 },
        { pool: "ledger", engines: 4, slots: 8, tokenMs: 10, prefillTokenMs: 0.1 },
    ],
    classes: [
        {
            name: "sheets",
            tier: 0,
            pool: "draft",
            firstTokenMs: 1_500,
            tokenMs: 80,
            maxWaitMs: 1_500,
            guaranteedShare: 0,
            resumable: true,
            repeatable: true,
            perSecond: 3,
            promptTokens: 800,
            answerTokens: 200,
            maxTokens: 600,
        },
        {
            name: "orders",
            tier: 1,
            pool: "ledger",
            firstTokenMs: 800,
            tokenMs: 60,
            maxWaitMs: 800,
            guaranteedShare: 0,
            resumable: false,
            repeatable: false,
            perSecond: 12,
            promptTokens: 200,
            answerTokens: 40,
            maxTokens: 120,
        },
        {
            name: "questions",
            tier: 2,
            pool: "draft",
            firstTokenMs: 3_000,
            tokenMs: 100,
            maxWaitMs: 3_000,
            guaranteedShare: 0.05,
            resumable: true,
            repeatable: true,
            perSecond: 7,
            promptTokens: 500,
            answerTokens: 100,
            maxTokens: 400,
        },
        {
            name: "summaries",
            tier: 3,
            pool: "draft",
            firstTokenMs: 15_000,
            tokenMs: 250,
            maxWaitMs: 15_000,
            guaranteedShare: 0.05,
            resumable: true,
            repeatable: true,
            perSecond: 3,
            promptTokens: 1_200,
            answerTokens: 200,
            maxTokens: 600,
        },
    ],
    workspaces: makeWorkspaces("butcher"),
    burstClass: "questions",
};

/** Deployment of the Al Batinah Pool Chemical Supply Consortium. */
export const CONSORTIUM: Deployment = {
    name: "consortium",
    zones: ["sohar", "barka", "muscat"],
    zoneLatencyMs: 0.5,
    clientLatencyMs: 1,
    entries: 7,
    pools: [
        { pool: "model", engines: 8, slots: MODEL_ENGINE_SLOTS, tokenMs: 20, prefillTokenMs: 0.25 },
        { pool: "dispatch", engines: 3, slots: 8, tokenMs: 10, prefillTokenMs: 0.1 },
    ],
    classes: [
        {
            name: "safety",
            tier: 0,
            pool: "model",
            firstTokenMs: 1_200,
            tokenMs: 80,
            maxWaitMs: 1_200,
            guaranteedShare: 0,
            resumable: true,
            repeatable: true,
            perSecond: 3,
            promptTokens: 1_000,
            answerTokens: 120,
            maxTokens: 400,
        },
        {
            name: "routing",
            tier: 1,
            pool: "dispatch",
            firstTokenMs: 600,
            tokenMs: 60,
            maxWaitMs: 600,
            guaranteedShare: 0,
            resumable: false,
            repeatable: false,
            perSecond: 9,
            promptTokens: 200,
            answerTokens: 40,
            maxTokens: 120,
        },
        {
            name: "manifests",
            tier: 2,
            pool: "model",
            firstTokenMs: 4_000,
            tokenMs: 100,
            maxWaitMs: 4_000,
            guaranteedShare: 0.05,
            resumable: true,
            repeatable: true,
            perSecond: 8,
            promptTokens: 600,
            answerTokens: 120,
            maxTokens: 500,
        },
        {
            name: "reports",
            tier: 3,
            pool: "model",
            firstTokenMs: 20_000,
            tokenMs: 250,
            maxWaitMs: 20_000,
            guaranteedShare: 0.05,
            resumable: true,
            repeatable: true,
            perSecond: 3,
            promptTokens: 1_500,
            answerTokens: 200,
            maxTokens: 600,
        },
    ],
    workspaces: makeWorkspaces("partner"),
    burstClass: "manifests",
};

/** All deployments of the bench. */
export const DEPLOYMENTS: readonly Deployment[] = [UTILITY, CONSORTIUM];
