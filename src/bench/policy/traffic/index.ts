import { Random } from "../../../ports/index.js";
import { ClassProfile, Deployment, PoolProfile, WorkspaceProfile } from "../deployment/index.js";
import { TOKENS_PER_STEP } from "../engineFake/index.js";
import { Burst, Scenario } from "../scenario/index.js";

/** Request that a caller sends at a given time of the scenario. */
export interface PlannedRequest {
    readonly id: string;
    /** Time of sending, in milliseconds after the start of the scenario. */
    readonly atMs: number;
    readonly classProfile: ClassProfile;
    readonly workspace: WorkspaceProfile;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly prefixes: readonly string[];
}

/** Sigma of the log-normal answer lengths: some answers are several times the median. */
const LENGTH_SIGMA = 0.5;
const MIN_ANSWER_TOKENS = 4;
/** Number of second prefixes from which each prompt of a workspace and class draws one. */
const CONVERSATIONS_PER_WORKSPACE = 6;
/** Additional time for each token in a full batch, as a share of the time in an empty one. */
export const BATCH_SLOWDOWN = 0.5;

/**
 * Draws all requests of a scenario in advance, so that every policy set gets the same ones.
 *
 * @param random - Seeded generator.
 * @returns The requests in the order of their times.
 */
export function planTraffic(deployment: Deployment, scenario: Scenario, random: Random): readonly PlannedRequest[] {
    const requests: PlannedRequest[] = [];
    for (const profile of deployment.classes) {
        drawArrivals(profile.perSecond, 0, scenario.durationMs, random, atMs => {
            requests.push(drawRequest(deployment, profile, atMs, random));
        });
    }
    for (const burst of scenario.bursts) addBurst(deployment, burst, random, requests);
    requests.sort((a, b) => a.atMs - b.atMs);
    return requests.map((request, index) => ({ ...request, id: `${deployment.name}-${scenario.name}-${index}` }));
}

/**
 * Returns the time for which a request occupies a slot of a full engine when its prefixes are cached, in milliseconds,
 * rounded up to whole simulation steps.
 */
export function idealSlotMs(request: PlannedRequest, pool: PoolProfile): number {
    const uncachedTokens = request.promptTokens / (request.prefixes.length + 1);
    const tokenIntervalMs = pool.tokenMs * (1 + BATCH_SLOWDOWN);
    const slotMs = uncachedTokens * pool.prefillTokenMs + request.answerTokens * tokenIntervalMs;
    const stepMs = TOKENS_PER_STEP * tokenIntervalMs;
    return Math.ceil(slotMs / stepMs) * stepMs;
}

function addBurst(deployment: Deployment, burst: Burst, random: Random, requests: PlannedRequest[]): void {
    const isBurstClass = (candidate: ClassProfile): boolean =>
        burst.targetsTopClass ? candidate.tier === 0 : candidate.name === deployment.burstClass;
    const profile = deployment.classes.find(isBurstClass)!;
    const addedPerSecond = burstPerSecond(deployment, profile, burst.load);
    const workspace = burst.workspace === undefined ? undefined : deployment.workspaces[burst.workspace];
    drawArrivals(addedPerSecond, burst.fromMs, burst.toMs, random, atMs => {
        requests.push(drawRequest(deployment, profile, atMs, random, workspace));
    });
}

/** Returns the additional requests per second that raise the pool's demand to `load` times its engines' capacity. */
function burstPerSecond(deployment: Deployment, profile: ClassProfile, load: number): number {
    const pool = deployment.pools.find(candidate => candidate.pool === profile.pool)!;
    const slotSeconds = (candidate: ClassProfile): number => {
        const meanAnswerTokens = candidate.answerTokens * Math.exp(LENGTH_SIGMA ** 2 / 2);
        return (candidate.promptTokens * pool.prefillTokenMs / 3
            + meanAnswerTokens * pool.tokenMs * (1 + BATCH_SLOWDOWN)) / 1_000;
    };
    const steady = deployment.classes.filter(candidate => candidate.pool === profile.pool)
        .reduce((sum, candidate) => sum + candidate.perSecond * slotSeconds(candidate), 0);
    return Math.max(0, load * pool.engines * pool.slots - steady) / slotSeconds(profile);
}

function drawArrivals(
    perSecond: number,
    fromMs: number,
    toMs: number,
    random: Random,
    onArrival: (atMs: number) => void,
): void {
    let atMs = fromMs;
    for (;;) {
        atMs += -Math.log(1 - random.next()) / perSecond * 1_000;
        if (atMs >= toMs) return;
        onArrival(atMs);
    }
}

function drawRequest(
    deployment: Deployment,
    profile: ClassProfile,
    atMs: number,
    random: Random,
    fixedWorkspace?: WorkspaceProfile,
): PlannedRequest {
    const workspace = fixedWorkspace ?? pickWorkspace(deployment.workspaces, random);
    const standardNormal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    const answerTokens = Math.round(profile.answerTokens * Math.exp(LENGTH_SIGMA * standardNormal));
    const workspacePrefix = `${profile.name}/${workspace.id}`;
    return {
        id: "",
        atMs,
        classProfile: profile,
        workspace,
        promptTokens: Math.round(profile.promptTokens * random.between(0.8, 1.2)),
        answerTokens: Math.min(profile.maxTokens, Math.max(MIN_ANSWER_TOKENS, answerTokens)),
        prefixes: [workspacePrefix, `${workspacePrefix}/${random.integer(0, CONVERSATIONS_PER_WORKSPACE)}`],
    };
}

function pickWorkspace(workspaces: readonly WorkspaceProfile[], random: Random): WorkspaceProfile {
    const totalTraffic = workspaces.reduce((sum, workspace) => sum + workspace.traffic, 0);
    let remaining = random.between(0, totalTraffic);
    for (const workspace of workspaces) {
        remaining -= workspace.traffic;
        if (remaining < 0) return workspace;
    }
    return workspaces[workspaces.length - 1];
}
