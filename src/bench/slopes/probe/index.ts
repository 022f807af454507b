import { SlopePoint } from "../fit/index.js";
import { Slope } from "../slopeFile/index.js";

/**
 * Measures one part of the system at several sizes. Each probe runs in a process of its own, so that memory left by one
 * is not counted to the next.
 */
export abstract class Probe {
    /** Its name on the command line. */
    abstract readonly name: string;

    /** Takes the samples. */
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
     * @param id - The slope.
     * @param x - The size.
     * @param value - The figure, in the slope's unit.
     */
    add(id: string, x: number, value: number): void {
        const points = this.samples.get(id) ?? new Map<number, number[]>();
        this.samples.set(id, points);
        points.set(x, [...points.get(x) ?? [], Number(value.toPrecision(6))]);
    }

    /** Adds one sample for each value. */
    addAll(id: string, x: number, values: readonly number[]): void {
        for (const value of values) this.add(id, x, value);
    }

    /** @param date - The day of the run, as `YYYY-MM-DD`. */
    toSlopes(date: string): Slope[] {
        return [...this.samples].map(([id, points]) => ({ id, date, points: toPoints(points) }));
    }
}

function toPoints(points: ReadonlyMap<number, number[]>): { x: number; samples: number[]; }[] {
    const sorted: SlopePoint[] = [...points].map(([x, samples]) => ({ x, samples })).sort((a, b) => a.x - b.x);
    return sorted.map(({ x, samples }) => ({ x, samples: [...samples] }));
}
