/** One class of a deployment's templates, and the traffic that it brings. */
export interface ClassShape {
    readonly name: string;
    readonly tier: number;
    readonly pool: string;
    readonly firstTokenMs: number;
    readonly tokenMs: number;
    readonly maxWaitMs: number;
    readonly guaranteedShare: number;
    readonly resumable: boolean;
    readonly repeatable: boolean;
    /** Requests a second over all workspaces in the steady state. */
    readonly perSecond: number;
    readonly promptTokens: number;
    /** Median length of an answer, in tokens; lengths are log-normal. */
    readonly answerTokens: number;
    readonly maxTokens: number;
}

/** A workspace and its part of the traffic. */
export interface WorkspaceShape {
    readonly id: string;
    readonly weight: number;
    /** Its share of each class's requests, beside the others' shares. */
    readonly traffic: number;
}

/** A group of like engines. */
export interface PoolShape {
    readonly pool: string;
    /** Engines for the peak, as static purchase would run them. */
    readonly engines: number;
    readonly slots: number;
    readonly tokenMs: number;
    readonly prefillTokenMs: number;
}

/** One of the brief's users, at today's size. */
export interface Deployment {
    readonly name: string;
    readonly zones: readonly string[];
    /** One way between zones, in milliseconds. */
    readonly zoneLatencyMs: number;
    /** One way between callers and entries, in milliseconds. */
    readonly clientLatencyMs: number;
    readonly entries: number;
    readonly pools: readonly PoolShape[];
    readonly classes: readonly ClassShape[];
    readonly workspaces: readonly WorkspaceShape[];
    /** The class whose bursts the scenarios play. */
    readonly burstClass: string;
}

const SLOTS = 16;

/** Ten workspaces: two large, three middling, five small. */
function makeWorkspaces(prefix: string): WorkspaceShape[] {
    const weights = [4, 4, 2, 2, 2, 1, 1, 1, 1, 1];
    return weights.map((weight, index) => ({ id: `${prefix}-${index + 1}`, weight, traffic: weight }));
}

/** Reykjanes Municipal Provisioning Utility. */
export const UTILITY: Deployment = {
    name: "utility",
    zones: ["keflavik", "grindavik", "sandgerdi", "vogar"],
    zoneLatencyMs: 1,
    clientLatencyMs: 4,
    entries: 7,
    pools: [
        { pool: "draft", engines: 8, slots: SLOTS, tokenMs: 20, prefillTokenMs: 0.25 },
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

/** Al Batinah Pool Chemical Supply Consortium. */
export const CONSORTIUM: Deployment = {
    name: "consortium",
    zones: ["sohar", "barka", "muscat"],
    zoneLatencyMs: 0.5,
    clientLatencyMs: 1,
    entries: 7,
    pools: [
        { pool: "model", engines: 8, slots: SLOTS, tokenMs: 20, prefillTokenMs: 0.25 },
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

export const DEPLOYMENTS: readonly Deployment[] = [UTILITY, CONSORTIUM];
