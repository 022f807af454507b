import { availableParallelism, cpus, totalmem } from "node:os";
import * as z from "zod";
import { Disk } from "../../../ports/index.js";

const pointSchema = z.object({ x: z.number(), samples: z.array(z.number()).min(1) });

const slopeSchema = z.object({
    /** ID of the slope, such as `view.heap`. */
    id: z.string(),
    /** Date of the run, as `YYYY-MM-DD`. */
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

/** Samples of one slope. */
export type Slope = z.output<typeof slopeSchema>;
/** Machine on which the samples were taken. */
export type Machine = z.output<typeof machineSchema>;
/** All samples: the content of `bench/slopes.json`. */
export type SlopeFile = z.output<typeof slopeFileSchema>;

/** Path of the samples, relative to the repository's root. */
export const SLOPE_FILE = "bench/slopes.json";

const BYTES_PER_GB = 1_000_000_000;

/** Describes the machine that this process runs on. */
export function describeMachine(): Machine {
    return {
        processor: cpus()[0]?.model ?? "unknown",
        cores: availableParallelism(),
        memoryGb: Math.round(totalmem() / BYTES_PER_GB),
        node: process.version,
    };
}

/**
 * Reads the samples.
 *
 * @returns An empty list of slopes when there is no file.
 * @throws ZodError when the content doesn't match the schema.
 */
export async function readSlopeFile(disk: Disk): Promise<SlopeFile> {
    const bytes = await disk.read(SLOPE_FILE);
    if (!bytes) return { machine: describeMachine(), slopes: [] };
    return slopeFileSchema.parse(JSON.parse(Buffer.from(bytes).toString()));
}

/** Replaces slopes by new ones with the same ID and adds the rest. */
export function mergeSlopes(file: SlopeFile, newSlopes: readonly Slope[]): SlopeFile {
    const ids = new Set(newSlopes.map(slope => slope.id));
    const unchangedSlopes = file.slopes.filter(slope => !ids.has(slope.id));
    const slopes = [...unchangedSlopes, ...newSlopes].sort((a, b) => a.id < b.id ? -1 : 1);
    return { machine: describeMachine(), slopes };
}

/** Writes the samples, with one point per line. */
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
