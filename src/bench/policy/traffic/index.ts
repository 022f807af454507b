import { Random } from "../../../ports/index.js";
import { ClassShape, Deployment, PoolShape, WorkspaceShape } from "../deployment/index.js";
import { STEP_TOKENS } from "../engineFake/index.js";
import { Burst, Scenario } from "../scenario/index.js";

/** One request that a caller will make. */
export interface PlannedRequest {
    readonly id: string;
    readonly atMs: number;
    readonly shape: ClassShape;
    readonly workspace: WorkspaceShape;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly prefixes: readonly string[];
}

/** The spread of answer lengths: some answers are several times the median. */
const LENGTH_SIGMA = 0.5;
const LEAST_ANSWER = 4;
/** Prompts of a workspace and class share one of this many second prefixes. */
const CONVERSATIONS = 6;
export const BATCH_SLOWDOWN = 0.5;

/**
 * Draws all requests of a scenario ahead, so that each policy set meets the same ones.
 *
 * @param random - Seeded.
 */
export function planTraffic(deployment: Deployment, scenario: Scenario, random: Random): readonly PlannedRequest[] {
    const requests: PlannedRequest[] = [];
    for (const shape of deployment.classes) {
        drawArrivals(shape.perSecond, 0, scenario.durationMs, random, atMs => {
            requests.push(drawRequest(deployment, shape, atMs, random));
        });
    }
    for (const burst of scenario.bursts) addBurst(deployment, burst, random, requests);
    requests.sort((a, b) => a.atMs - b.atMs);
    return requests.map((request, index) => ({ ...request, id: `${deployment.name}-${scenario.name}-${index}` }));
}

/** How long a request holds a slot of a full engine when its prefixes are cached, in milliseconds: whole steps. */
export function idealSlotMs(request: PlannedRequest, pool: PoolShape): number {
    const freshTokens = request.promptTokens / (request.prefixes.length + 1);
    const paceMs = pool.tokenMs * (1 + BATCH_SLOWDOWN);
    const slotMs = freshTokens * pool.prefillTokenMs + request.answerTokens * paceMs;
    const stepMs = STEP_TOKENS * paceMs;
    return Math.ceil(slotMs / stepMs) * stepMs;
}

function addBurst(deployment: Deployment, burst: Burst, random: Random, requests: PlannedRequest[]): void {
    const isMeant = (other: ClassShape): boolean =>
        burst.isTopClass ? other.tier === 0 : other.name === deployment.burstClass;
    const shape = deployment.classes.find(isMeant)!;
    const added = burstPerSecond(deployment, shape, burst.load);
    const workspace = burst.workspace === undefined ? undefined : deployment.workspaces[burst.workspace];
    drawArrivals(added, burst.fromMs, burst.toMs, random, atMs => {
        requests.push(drawRequest(deployment, shape, atMs, random, workspace));
    });
}

/** What the burst adds so that the pool's whole demand is `load` times what its engines can serve. */
function burstPerSecond(deployment: Deployment, shape: ClassShape, load: number): number {
    const pool = deployment.pools.find(other => other.pool === shape.pool)!;
    const slotSeconds = (other: ClassShape): number => {
        const mean = other.answerTokens * Math.exp(LENGTH_SIGMA ** 2 / 2);
        return (other.promptTokens * pool.prefillTokenMs / 3 + mean * pool.tokenMs * (1 + BATCH_SLOWDOWN)) / 1_000;
    };
    const steady = deployment.classes.filter(other => other.pool === shape.pool)
        .reduce((sum, other) => sum + other.perSecond * slotSeconds(other), 0);
    return Math.max(0, load * pool.engines * pool.slots - steady) / slotSeconds(shape);
}

function drawArrivals(
    perSecond: number,
    fromMs: number,
    toMs: number,
    random: Random,
    take: (atMs: number) => void,
): void {
    let atMs = fromMs;
    for (;;) {
        atMs += -Math.log(1 - random.next()) / perSecond * 1_000;
        if (atMs >= toMs) return;
        take(atMs);
    }
}

function drawRequest(
    deployment: Deployment,
    shape: ClassShape,
    atMs: number,
    random: Random,
    fixed?: WorkspaceShape,
): PlannedRequest {
    const workspace = fixed ?? pickWorkspace(deployment.workspaces, random);
    const gauss = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    const answer = Math.round(shape.answerTokens * Math.exp(LENGTH_SIGMA * gauss));
    const head = `${shape.name}/${workspace.id}`;
    return {
        id: "",
        atMs,
        shape,
        workspace,
        promptTokens: Math.round(shape.promptTokens * random.between(0.8, 1.2)),
        answerTokens: Math.min(shape.maxTokens, Math.max(LEAST_ANSWER, answer)),
        prefixes: [head, `${head}/${random.integer(0, CONVERSATIONS)}`],
    };
}

function pickWorkspace(workspaces: readonly WorkspaceShape[], random: Random): WorkspaceShape {
    const all = workspaces.reduce((sum, workspace) => sum + workspace.traffic, 0);
    let at = random.between(0, all);
    for (const workspace of workspaces) {
        at -= workspace.traffic;
        if (at < 0) return workspace;
    }
    return workspaces[workspaces.length - 1];
}
