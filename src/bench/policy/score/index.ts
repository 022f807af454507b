import { RequestRecord } from "../callerFake/index.js";
import { Deployment } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { fairShares } from "../fairness/index.js";
import { serveableTokens } from "../serveable/index.js";

/** Outcomes of one class, in numbers of requests. */
export interface ClassScore {
    readonly className: string;
    readonly tier: number;
    /** All requests that callers sent. */
    readonly offered: number;
    /** Answered within the targets of the class. */
    readonly attained: number;
    /** Answered, but not within the targets. */
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
    /** Share of tier 0 requests that attained their targets. */
    readonly topAttainment: number;
    /** The same without requests whose caller was connected to an entry that crashed. */
    readonly topAttainmentElsewhere: number;
    /** Share of all requests that attained their targets. */
    readonly attainment: number;
    /** Tokens of attained requests as a share of those that the running engines could have served in time. */
    readonly goodput: number;
    /** Wasted tokens as a share of all tokens computed. */
    readonly wasted: number;
    /** Attained tokens of the worst-served workspace as a share of its weighted fair share. */
    readonly worstServed: number;
    /** Sum of the priority inversions that `InversionCounter` counts. */
    readonly inversions: number;
    /** Cost per attained request, in micro-credits. */
    readonly costPerAttained: number;
    /** Share of delivered tokens that reclaimable engines generated. */
    readonly reclaimableShare: number;
    readonly preemptions: number;
}

/** Results of a run from which its score is computed. */
export interface RunOutcome {
    readonly deployment: Deployment;
    readonly scenario: string;
    readonly policySet: string;
    readonly records: readonly RequestRecord[];
    readonly engines: readonly EngineFake[];
    /** Cost of all engines, in micro-credits. */
    readonly bill: number;
    readonly inversions: number;
    readonly preemptions: number;
}

/** Whether a request was answered completely and within its class's targets. */
export function isAttained(record: RequestRecord): boolean {
    if (record.outcome !== "answered" || record.firstTokenAt === undefined) return false;
    const { classProfile: profile, atMs, answerTokens } = record.planned;
    if (record.firstTokenAt - atMs > profile.firstTokenMs) return false;
    return (record.endedAt! - record.firstTokenAt) / Math.max(1, answerTokens - 1) <= profile.tokenMs;
}

/** Computes the figures of a run. */
export function scoreRun(run: RunOutcome): Score {
    const classes = run.deployment.classes.map(profile => scoreClass(profile.name, profile.tier, run.records));
    const attained = run.records.filter(isAttained);
    const totalComputed = run.engines.reduce(
        (sum, { computedTokens }) => sum + computedTokens.generated + computedTokens.prefilled,
        0,
    );
    const deliveredTokens = sumTokens(run.records, record => record.deliveredTokens);
    const top = classes.filter(score => score.tier === 0);
    const topElsewhere = run.records.filter(record => record.planned.classProfile.tier === 0 && !record.hasLostEntry);
    return {
        deployment: run.deployment.name,
        scenario: run.scenario,
        policySet: run.policySet,
        classes,
        topAttainment: ratio(sumOf(top, score => score.attained), sumOf(top, score => score.offered)),
        topAttainmentElsewhere: ratio(topElsewhere.filter(isAttained).length, topElsewhere.length),
        attainment: ratio(attained.length, run.records.length),
        goodput: ratio(sumTokens(attained, record => record.planned.answerTokens), sumServeableTokens(run)),
        wasted: ratio(sumTokens(run.records, record => record.wastedTokens), totalComputed),
        worstServed: findWorstServedRatio(run),
        inversions: run.inversions,
        costPerAttained: ratio(run.bill, attained.length),
        reclaimableShare: ratio(sumTokens(run.records, record => record.reclaimableTokens), deliveredTokens),
        preemptions: run.preemptions,
    };
}

function scoreClass(className: string, tier: number, records: readonly RequestRecord[]): ClassScore {
    const classRecords = records.filter(record => record.planned.classProfile.name === className);
    const count = (matches: (record: RequestRecord) => boolean): number => classRecords.filter(matches).length;
    return {
        className,
        tier,
        offered: classRecords.length,
        attained: count(isAttained),
        late: count(record => record.outcome === "answered" && !isAttained(record)),
        refused: count(record => record.outcome === "refused"),
        failed: count(record => record.outcome === "failed" || record.outcome === "open"),
    };
}

function sumServeableTokens(run: RunOutcome): number {
    return run.deployment.pools.reduce((sum, pool) => {
        const engines = run.engines.filter(engine => engine.profile.pool === pool.pool);
        const requests = run.records.map(record => record.planned).filter(({ classProfile: profile }) =>
            profile.pool === pool.pool
        );
        return sum + serveableTokens(pool, engines, requests);
    }, 0);
}

/**
 * Returns the lowest ratio of attained tokens to fair share among the workspaces. Fair shares are computed within each
 * class and then summed, since tiers take precedence over fairness.
 */
function findWorstServedRatio(run: RunOutcome): number {
    const { workspaces, classes } = run.deployment;
    const servedTokens = workspaces.map(() => 0);
    const fairTokens = workspaces.map(() => 0);
    for (const profile of classes) {
        const services = workspaces.map(workspace => {
            const classRecords = run.records.filter(({ planned }) =>
                planned.classProfile.name === profile.name && planned.workspace.id === workspace.id
            );
            const requestedTokens = sumTokens(classRecords, record => record.planned.answerTokens);
            const attainedTokens = sumTokens(classRecords.filter(isAttained), record => record.planned.answerTokens);
            return { weight: workspace.weight, requestedTokens, servedTokens: attainedTokens };
        });
        const shares = fairShares(services);
        services.forEach((service, index) => {
            servedTokens[index] += service.servedTokens;
            fairTokens[index] += shares[index];
        });
    }
    return Math.min(
        ...workspaces.map((_, index) => fairTokens[index] === 0 ? 1 : servedTokens[index] / fairTokens[index]),
    );
}

function sumTokens(records: readonly RequestRecord[], read: (record: RequestRecord) => number): number {
    return sumOf(records, read);
}

function sumOf<Item>(items: readonly Item[], read: (item: Item) => number): number {
    return items.reduce((sum, item) => sum + read(item), 0);
}

function ratio(part: number, whole: number): number {
    return whole === 0 ? 0 : part / whole;
}
