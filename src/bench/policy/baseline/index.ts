import { Disk } from "../../../ports/index.js";
import { Score } from "../score/index.js";

/** The figures that are guarded, of one run. */
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

/** How far a figure may move to the worse before it is a regression. */
interface Bound {
    readonly figure: Figure;
    readonly isBetter: "higher" | "lower";
    /** In the figure's own unit, or as a share of it. */
    readonly absolute?: number;
    readonly relative?: number;
}

const BOUNDS: readonly Bound[] = [
    { figure: "topAttainment", isBetter: "higher", absolute: 0.005 },
    { figure: "attainment", isBetter: "higher", absolute: 0.02 },
    { figure: "goodput", isBetter: "higher", absolute: 0.02 },
    { figure: "wasted", isBetter: "lower", absolute: 0.005 },
    { figure: "worstServed", isBetter: "higher", absolute: 0.05 },
    { figure: "inversions", isBetter: "lower", absolute: 0 },
    { figure: "costPerAttained", isBetter: "lower", relative: 0.05 },
    { figure: "reclaimableShare", isBetter: "higher", absolute: 0.05 },
];

/** Only the set that ships is guarded; the others are there to be compared with. */
const GUARDED_SET = "sequoiamux";
const BASELINE_FILE = "BASELINE.json";

/** Reads the guarded figures. */
export async function readBaseline(disk: Disk): Promise<readonly BaselineFigures[]> {
    const bytes = await disk.read(BASELINE_FILE);
    return bytes ? JSON.parse(new TextDecoder().decode(bytes)) as BaselineFigures[] : [];
}

/** Makes the guarded figures those of this run. */
export async function writeBaseline(disk: Disk, scores: readonly Score[]): Promise<void> {
    const figures = scores.filter(score => score.policySet === GUARDED_SET).map(pickFigures);
    await disk.replace(BASELINE_FILE, new TextEncoder().encode(`${JSON.stringify(figures, undefined, 4)}\n`));
}

/**
 * Compares a run with the guarded figures.
 *
 * @returns One line for each figure that is worse than its bound allows, or that has no baseline.
 */
export function compareWithBaseline(baseline: readonly BaselineFigures[], scores: readonly Score[]): readonly string[] {
    return scores.filter(score => score.policySet === GUARDED_SET).flatMap(score => {
        const name = `${score.deployment} ${score.scenario}`;
        const known = baseline.find(other =>
            other.deployment === score.deployment && other.scenario === score.scenario
        );
        if (!known) return [`${name}: no baseline`];
        return BOUNDS.filter(bound => isOutside(bound, known[bound.figure], score[bound.figure]))
            .map(({ figure }) => `${name}: ${figure} was ${known[figure]}, is ${score[figure]}`);
    });
}

function isOutside(bound: Bound, was: number, is: number): boolean {
    const room = (bound.absolute ?? 0) + (bound.relative ?? 0) * Math.abs(was);
    return bound.isBetter === "higher" ? is < was - room : is > was + room;
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
