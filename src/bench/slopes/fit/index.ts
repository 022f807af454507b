/** Samples of one measured value, all taken at the same size. */
export interface SlopePoint {
    /** Size, in the slope's own unit, such as a number of workspaces. */
    readonly x: number;
    readonly samples: readonly number[];
}

/** Straight line fitted to points by least squares. */
export interface LineFit {
    /** Value at size 0. */
    readonly base: number;
    /** Increase per unit of size. */
    readonly perUnit: number;
    /** Standard error of `perUnit`. */
    readonly standardError: number;
    /** Share of the values' variance that the line explains, from 0 to 1. */
    readonly rSquared: number;
}

/** Minimum number of sizes of a slope; fewer don't show whether it is a straight line. */
export const MIN_POINTS = 4;

interface Observation {
    readonly x: number;
    readonly y: number;
}

/**
 * Fits a line to all samples.
 *
 * @throws RangeError with fewer than `MIN_POINTS` sizes.
 * @example
 * fitLine([{ x: 1, samples: [2] }, { x: 2, samples: [4] }, { x: 3, samples: [6] }, { x: 4, samples: [8] }]).perUnit; // 2
 */
export function fitLine(points: readonly SlopePoint[]): LineFit {
    if (points.length < MIN_POINTS) throw new RangeError(`${points.length} points, ${MIN_POINTS} at least`);
    const observations = points.flatMap(({ x, samples }) => samples.map((y): Observation => ({ x, y })));
    const meanX = mean(observations.map(observation => observation.x));
    const meanY = mean(observations.map(observation => observation.y));
    const squaresX = sum(observations.map(({ x }) => (x - meanX) ** 2));
    const squaresY = sum(observations.map(({ y }) => (y - meanY) ** 2));
    const perUnit = sum(observations.map(({ x, y }) => (x - meanX) * (y - meanY))) / squaresX;
    const base = meanY - perUnit * meanX;
    const residualSquares = sum(observations.map(({ x, y }) => (y - base - perUnit * x) ** 2));
    const standardError = Math.sqrt(residualSquares / Math.max(1, observations.length - 2) / squaresX);
    return { base, perUnit, standardError, rSquared: squaresY === 0 ? 1 : 1 - residualSquares / squaresY };
}

/** Returns the line's value at a size. */
export function predict({ base, perUnit }: LineFit, x: number): number {
    return base + perUnit * x;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
    return sum(values) / values.length;
}
