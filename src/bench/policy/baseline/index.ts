import { Disk } from "../../../ports/index.js";
import { Score } from "../score/index.js";

/** Figures of one run that are checked for regressions, as stored in the baseline file. */
export interface BaselineFigures {
    readonly deployment: string;
    readonly scenario: string;
    readonly policySet: string;
    readonly topAttainment: number;
    readonly attainment: number;
    readonly goodput: number;
    readonly wasted: number;
    readonly worstServed: number;
    readonly inversions: number;
    readonly costPerAttained: number;
    readonly reclaimableShare: number;
}

type Figure = Exclude<keyof BaselineFigures, "deployment" | "scenario" | "policySet">;

/** Permitted worsening of a figure; anything beyond it is a regression. */
interface Tolerance {
    readonly figure: Figure;
    readonly betterWhen: "higher" | "lower";
    /** In the figure's own unit. */
    readonly absolute?: number;
    /** As a share of the baseline figure. */
    readonly relative?: number;
}

const TOLERANCES: readonly Tolerance[] = [
    { figure: "topAttainment", betterWhen: "higher", absolute: 0.005 },
    { figure: "attainment", betterWhen: "higher", absolute: 0.02 },
    { figure: "goodput", betterWhen: "higher", absolute: 0.02 },
    { figure: "wasted", betterWhen: "lower", absolute: 0.005 },
    { figure: "worstServed", betterWhen: "higher", absolute: 0.05 },
    { figure: "inversions", betterWhen: "lower", absolute: 0 },
    { figure: "costPerAttained", betterWhen: "lower", relative: 0.05 },
    { figure: "reclaimableShare", betterWhen: "higher", absolute: 0.05 },
];

/** Policy set that ships; the others only serve as a comparison and aren't checked. */
const CHECKED_SET = "sequoiamux";
const BASELINE_FILE = "BASELINE.json";

/**
 * Reads the baseline figures.
 *
 * @returns An empty list when there is no baseline file.
 */
export async function readBaseline(disk: Disk): Promise<readonly BaselineFigures[]> {
    const bytes = await disk.read(BASELINE_FILE);
    return bytes ? JSON.parse(new TextDecoder().decode(bytes)) as BaselineFigures[] : [];
}

/** Replaces the baseline figures with those of the given scores. */
export async function writeBaseline(disk: Disk, scores: readonly Score[]): Promise<void> {
    const figures = scores.filter(score => score.policySet === CHECKED_SET).map(pickFigures);
    await disk.replace(BASELINE_FILE, new TextEncoder().encode(`${JSON.stringify(figures, undefined, 4)}\n`));
}

/**
 * Compares scores with the baseline figures.
 *
 * @returns One line for each figure that is worse than its tolerance allows and for each run without a baseline.
 */
export function compareWithBaseline(baseline: readonly BaselineFigures[], scores: readonly Score[]): readonly string[] {
    return scores.filter(score => score.policySet === CHECKED_SET).flatMap(score => {
        const name = `${score.deployment} ${score.scenario}`;
        const expected = baseline.find(candidate =>
            candidate.deployment === score.deployment && candidate.scenario === score.scenario
        );
        if (!expected) return [`${name}: no baseline`];
        return TOLERANCES.filter(tolerance =>
            isRegression(tolerance, expected[tolerance.figure], score[tolerance.figure])
        )
            .map(({ figure }) => `${name}: ${figure} was ${expected[figure]}, is ${score[figure]}`);
    });
}

function isRegression(tolerance: Tolerance, baselineValue: number, currentValue: number): boolean {
    const margin = (tolerance.absolute ?? 0) + (tolerance.relative ?? 0) * Math.abs(baselineValue);
    return tolerance.betterWhen === "higher"
        ? currentValue < baselineValue - margin
        : currentValue > baselineValue + margin;
}

function pickFigures(score: Score): BaselineFigures {
    const { deployment, scenario, policySet, topAttainment, attainment, goodput, wasted, worstServed } = score;
    const { inversions, costPerAttained, reclaimableShare } = score;
    return {
        deployment,
        scenario,
        policySet,
        topAttainment,
        attainment,
        goodput,
        wasted,
        worstServed,
        inversions,
        costPerAttained,
        reclaimableShare,
    };
}
