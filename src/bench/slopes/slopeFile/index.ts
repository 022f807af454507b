import { availableParallelism, cpus, totalmem } from "node:os";
import * as z from "zod";
import { Disk } from "../../../ports/index.js";

const pointSchema = z.object({ x: z.number(), samples: z.array(z.number()).min(1) });

const slopeSchema = z.object({
    /** Names the slope, such as `view.heap`. */
    id: z.string(),
    /** The date of its run, as `YYYY-MM-DD`. */
    date: z.string(),
    points: z.array(pointSchema).min(1),
});

const machineSchema = z.object({
    processor: z.string(),
    cores: z.number(),
    memoryGb: z.number(),
    node: z.string(),
});

const slopeFileSchema = z.object({ machine: machineSchema, slopes: z.array(slopeSchema) });

/** The raw figures of one slope. */
export type Slope = z.output<typeof slopeSchema>;
/** What the figures were taken on. */
export type Machine = z.output<typeof machineSchema>;
/** All raw figures: the content of `bench/slopes.json`. */
export type SlopeFile = z.output<typeof slopeFileSchema>;

/** Where the raw figures stand, from the repository's root. */
export const SLOPE_FILE = "bench/slopes.json";

const GIGABYTE = 1_000_000_000;

/** What this process runs on. */
export function describeMachine(): Machine {
    return {
        processor: cpus()[0]?.model ?? "unknown",
        cores: availableParallelism(),
        memoryGb: Math.round(totalmem() / GIGABYTE),
        node: process.version,
    };
}

/**
 * Reads the raw figures.
 *
 * @returns No slopes when there is no file.
 * @throws ZodError when the file is not of the right shape.
 */
export async function readSlopeFile(disk: Disk): Promise<SlopeFile> {
    const bytes = await disk.read(SLOPE_FILE);
    if (!bytes) return { machine: describeMachine(), slopes: [] };
    return slopeFileSchema.parse(JSON.parse(Buffer.from(bytes).toString()));
}

/** Puts new slopes in the place of older ones with the same id. */
export function mergeSlopes(file: SlopeFile, fresh: readonly Slope[]): SlopeFile {
    const ids = new Set(fresh.map(slope => slope.id));
    const kept = file.slopes.filter(slope => !ids.has(slope.id));
    const slopes = [...kept, ...fresh].sort((a, b) => a.id < b.id ? -1 : 1);
    return { machine: describeMachine(), slopes };
}

/** Writes the raw figures, one point a line. */
export async function writeSlopeFile(disk: Disk, file: SlopeFile): Promise<void> {
    const slopes = file.slopes.map(({ id, date, points }) => {
        const lines = points.map(point => `            ${JSON.stringify(point)}`).join(",\n");
        return `        {\n            "id": ${JSON.stringify(id)}, "date": ${
            JSON.stringify(date)
        }, "points": [\n${lines}\n        ]}`;
    });
    const machine = JSON.stringify(file.machine);
    const text = `{\n    "machine": ${machine},\n    "slopes": [\n${slopes.join(",\n")}\n    ]\n}\n`;
    await disk.makeFolder("bench");
    await disk.replace(SLOPE_FILE, Buffer.from(text));
}
