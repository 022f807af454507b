/** Samples of one figure, all taken at the same size. */
export interface SlopePoint {
    /** The size, in the slope's own measure. */
    readonly x: number;
    readonly samples: readonly number[];
}

/** A straight line through points, by least squares. */
export interface LineFit {
    /** The figure at size 0. */
    readonly base: number;
    /** What one unit of size adds. */
    readonly perUnit: number;
    /** Standard error of `perUnit`. */
    readonly standardError: number;
    /** The share of the figures' variance that the line explains, from 0 to 1. */
    readonly rSquared: number;
}

/** A slope with fewer points says nothing of its shape. */
export const LEAST_POINTS = 4;

interface Pair {
    readonly x: number;
    readonly y: number;
}

/**
 * Lays a line through all samples.
 *
 * @throws RangeError with fewer than `LEAST_POINTS` sizes.
 * @example
 * fitLine([{ x: 1, samples: [2] }, { x: 2, samples: [4] }, { x: 3, samples: [6] }, { x: 4, samples: [8] }]).perUnit; // 2
 */
export function fitLine(points: readonly SlopePoint[]): LineFit {
    if (points.length < LEAST_POINTS) throw new RangeError(`${points.length} points, ${LEAST_POINTS} at least`);
    const pairs = points.flatMap(({ x, samples }) => samples.map((y): Pair => ({ x, y })));
    const meanX = mean(pairs.map(pair => pair.x));
    const meanY = mean(pairs.map(pair => pair.y));
    const spreadX = sum(pairs.map(({ x }) => (x - meanX) ** 2));
    const spreadY = sum(pairs.map(({ y }) => (y - meanY) ** 2));
    const perUnit = sum(pairs.map(({ x, y }) => (x - meanX) * (y - meanY))) / spreadX;
    const base = meanY - perUnit * meanX;
    const rest = sum(pairs.map(({ x, y }) => (y - base - perUnit * x) ** 2));
    const standardError = Math.sqrt(rest / Math.max(1, pairs.length - 2) / spreadX);
    return { base, perUnit, standardError, rSquared: spreadY === 0 ? 1 : 1 - rest / spreadY };
}

/** The figure that the line gives at a size. */
export function predict({ base, perUnit }: LineFit, x: number): number {
    return base + perUnit * x;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
    return sum(values) / values.length;
}
