import { SlopePoint } from "../fit/index.js";
import { Slope } from "../slopeFile/index.js";

/**
 * Measures one component at several sizes. Each probe runs in a process of its own, so that memory retained by one isn't
 * counted for the next.
 */
export abstract class Probe {
    /** Name on the command line. */
    abstract readonly name: string;

    /** Takes all samples and adds them to the recorder. */
    abstract run(recorder: SlopeRecorder): Promise<void>;
}

/**
 * Collects samples into slopes.
 *
 * @example
 * recorder.add("view.heap", 10_000, heapBytes() - before);
 */
export class SlopeRecorder {
    private readonly samples = new Map<string, Map<number, number[]>>();

    /**
     * Adds a sample.
     *
     * @param id - ID of the slope, such as `view.heap`.
     * @param x - Size at which the sample was taken, such as a number of workspaces.
     * @param value - Measured value, in the slope's unit.
     */
    add(id: string, x: number, value: number): void {
        const points = this.samples.get(id) ?? new Map<number, number[]>();
        this.samples.set(id, points);
        points.set(x, [...points.get(x) ?? [], Number(value.toPrecision(6))]);
    }

    /** Adds one sample for each value, all at the same size. */
    addAll(id: string, x: number, values: readonly number[]): void {
        for (const value of values) this.add(id, x, value);
    }

    /**
     * Returns all samples as slopes, with points in the order of their sizes.
     *
     * @param date - Day of the run, as `YYYY-MM-DD`.
     */
    toSlopes(date: string): Slope[] {
        return [...this.samples].map(([id, points]) => ({ id, date, points: toPoints(points) }));
    }
}

function toPoints(points: ReadonlyMap<number, number[]>): { x: number; samples: number[]; }[] {
    const sorted: SlopePoint[] = [...points].map(([x, samples]) => ({ x, samples })).sort((a, b) => a.x - b.x);
    return sorted.map(({ x, samples }) => ({ x, samples: [...samples] }));
}
