import { fitLine, LineFit, MIN_POINTS, predict } from "../fit/index.js";
import { Slope, SlopeFile } from "../slopeFile/index.js";

/** Looks up measured slopes by ID and predicts their values at other sizes. */
export class SlopeTable {
    constructor(readonly file: SlopeFile) {}

    /** Returns the value of a slope's fitted line at a size. */
    predictAt(id: string, x: number): number {
        return predict(this.fit(id), x);
    }

    /** Returns the increase per unit of size. */
    perUnit(id: string): number {
        return this.fit(id).perUnit;
    }

    /** Returns the mean of all samples, for a value that doesn't depend on the size. */
    mean(id: string): number {
        return meanOf(this.find(id).points.flatMap(point => point.samples));
    }

    /** Returns the mean at the smallest size. */
    meanAtSmallestSize(id: string): number {
        return meanOf(this.find(id).points[0].samples);
    }

    /** Returns the mean at the largest size, for a slope that isn't a straight line. */
    meanAtLargestSize(id: string): number {
        return meanOf(this.find(id).points.at(-1)!.samples);
    }

    /** Returns the smallest size measured. */
    smallestSize(id: string): number {
        return this.find(id).points[0].x;
    }

    /** Returns the largest size measured. */
    largestSize(id: string): number {
        return this.find(id).points.at(-1)!.x;
    }

    /** Returns the line fitted to a slope; undefined when it has fewer than `MIN_POINTS` points. */
    tryFit(id: string): LineFit | undefined {
        const { points } = this.find(id);
        return points.length < MIN_POINTS ? undefined : fitLine(points);
    }

    private fit(id: string): LineFit {
        return fitLine(this.find(id).points);
    }

    private find(id: string): Slope {
        const slope = this.file.slopes.find(candidate => candidate.id === id);
        if (!slope) throw new RangeError(`no slope ${id}: run its probe`);
        return slope;
    }
}

function meanOf(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0) / values.length;
}
