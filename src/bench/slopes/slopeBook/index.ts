import { fitLine, LEAST_POINTS, LineFit, predict } from "../fit/index.js";
import { Slope, SlopeFile } from "../slopeFile/index.js";

/** The measured slopes, to be read off at other sizes. */
export class SlopeBook {
    constructor(readonly file: SlopeFile) {}

    /** The figure that a slope's line gives at a size. */
    at(id: string, x: number): number {
        return predict(this.fit(id), x);
    }

    /** What one unit of size adds. */
    perUnit(id: string): number {
        return this.fit(id).perUnit;
    }

    /** The mean of all samples, for a figure that does not depend on the size. */
    mean(id: string): number {
        return meanOf(this.find(id).points.flatMap(point => point.samples));
    }

    /** The mean at the smallest size. */
    first(id: string): number {
        return meanOf(this.find(id).points[0].samples);
    }

    /** The mean at the largest size, for a figure that is no straight line. */
    last(id: string): number {
        return meanOf(this.find(id).points.at(-1)!.samples);
    }

    /** The smallest size measured. */
    smallest(id: string): number {
        return this.find(id).points[0].x;
    }

    /** The largest size measured. */
    largest(id: string): number {
        return this.find(id).points.at(-1)!.x;
    }

    /** The line through a slope's points; undefined when there are too few. */
    tryFit(id: string): LineFit | undefined {
        const { points } = this.find(id);
        return points.length < LEAST_POINTS ? undefined : fitLine(points);
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
