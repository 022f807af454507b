import { RequestRecord } from "../caller/index.js";
import { Deployment } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { fairShares } from "../fairness/index.js";
import { serveableTokens } from "../serveable/index.js";

/** How one class fared, in requests. */
export interface ClassScore {
    readonly className: string;
    readonly tier: number;
    readonly offered: number;
    readonly attained: number;
    readonly late: number;
    readonly refused: number;
    readonly failed: number;
}

/** The figures of one run. Shares are from 0 to 1. */
export interface Score {
    readonly deployment: string;
    readonly scenario: string;
    readonly policySet: string;
    readonly classes: readonly ClassScore[];
    readonly topAttainment: number;
    /** The same without requests whose caller was connected to a host that was lost. */
    readonly topAttainmentElsewhere: number;
    readonly attainment: number;
    /** Tokens of attained requests beside what the running engines could have served in time. */
    readonly goodput: number;
    /** Of all tokens computed. */
    readonly wasted: number;
    /** Of its weighted fair share. */
    readonly worstServed: number;
    readonly inversions: number;
    /** In micro-credits. */
    readonly costPerAttained: number;
    readonly reclaimableShare: number;
    readonly preemptions: number;
}

/** What a run leaves to be scored. */
export interface RunOutcome {
    readonly deployment: Deployment;
    readonly scenario: string;
    readonly policySet: string;
    readonly records: readonly RequestRecord[];
    readonly engines: readonly EngineFake[];
    readonly bill: number;
    readonly inversions: number;
    readonly preemptions: number;
}

/** Whether a request was answered whole and within its class's targets. */
export function isAttained(record: RequestRecord): boolean {
    if (record.outcome !== "answered" || record.firstTokenAt === undefined) return false;
    const { shape, atMs, answerTokens } = record.planned;
    if (record.firstTokenAt - atMs > shape.firstTokenMs) return false;
    return (record.endedAt! - record.firstTokenAt) / Math.max(1, answerTokens - 1) <= shape.tokenMs;
}

/** Works out the figures of a run. */
export function scoreRun(run: RunOutcome): Score {
    const classes = run.deployment.classes.map(shape => scoreClass(shape.name, shape.tier, run.records));
    const attained = run.records.filter(isAttained);
    const computed = run.engines.reduce((sum, { tally }) => sum + tally.generated + tally.prefilled, 0);
    const delivered = sumTokens(run.records, record => record.delivered);
    const top = classes.filter(score => score.tier === 0);
    const topElsewhere = run.records.filter(record => record.planned.shape.tier === 0 && !record.hasLostEntry);
    return {
        deployment: run.deployment.name,
        scenario: run.scenario,
        policySet: run.policySet,
        classes,
        topAttainment: share(sumOf(top, score => score.attained), sumOf(top, score => score.offered)),
        topAttainmentElsewhere: share(topElsewhere.filter(isAttained).length, topElsewhere.length),
        attainment: share(attained.length, run.records.length),
        goodput: share(sumTokens(attained, record => record.planned.answerTokens), findServeable(run)),
        wasted: share(sumTokens(run.records, record => record.wasted), computed),
        worstServed: findWorstServed(run),
        inversions: run.inversions,
        costPerAttained: share(run.bill, attained.length),
        reclaimableShare: share(sumTokens(run.records, record => record.reclaimableTokens), delivered),
        preemptions: run.preemptions,
    };
}

function scoreClass(className: string, tier: number, records: readonly RequestRecord[]): ClassScore {
    const own = records.filter(record => record.planned.shape.name === className);
    const count = (isMeant: (record: RequestRecord) => boolean): number => own.filter(isMeant).length;
    return {
        className,
        tier,
        offered: own.length,
        attained: count(isAttained),
        late: count(record => record.outcome === "answered" && !isAttained(record)),
        refused: count(record => record.outcome === "refused"),
        failed: count(record => record.outcome === "failed" || record.outcome === "open"),
    };
}

function findServeable(run: RunOutcome): number {
    return run.deployment.pools.reduce((sum, pool) => {
        const engines = run.engines.filter(engine => engine.shape.pool === pool.pool);
        const requests = run.records.map(record => record.planned).filter(({ shape }) => shape.pool === pool.pool);
        return sum + serveableTokens(pool, engines, requests);
    }, 0);
}

/** Tiers come before fairness: the fair share is taken within each class, then summed. */
function findWorstServed(run: RunOutcome): number {
    const { workspaces, classes } = run.deployment;
    const served = workspaces.map(() => 0);
    const fair = workspaces.map(() => 0);
    for (const shape of classes) {
        const services = workspaces.map(workspace => {
            const own = run.records.filter(({ planned }) =>
                planned.shape.name === shape.name && planned.workspace.id === workspace.id
            );
            const asked = sumTokens(own, record => record.planned.answerTokens);
            const got = sumTokens(own.filter(isAttained), record => record.planned.answerTokens);
            return { weight: workspace.weight, asked, served: got };
        });
        const shares = fairShares(services);
        services.forEach((service, index) => {
            served[index] += service.served;
            fair[index] += shares[index];
        });
    }
    return Math.min(...workspaces.map((_, index) => fair[index] === 0 ? 1 : served[index] / fair[index]));
}

function sumTokens(records: readonly RequestRecord[], read: (record: RequestRecord) => number): number {
    return sumOf(records, read);
}

function sumOf<Item>(items: readonly Item[], read: (item: Item) => number): number {
    return items.reduce((sum, item) => sum + read(item), 0);
}

function share(part: number, whole: number): number {
    return whole === 0 ? 0 : part / whole;
}
