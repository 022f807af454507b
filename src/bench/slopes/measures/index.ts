import { SystemClock } from "../../../ports/index.js";

/** How often each figure is taken at each size. */
export const ROUNDS = 5;
const ROUND_NS = 60_000_000;
const NS_PER_US = 1_000;
const US_PER_MS = 1_000;

const clock = new SystemClock();

/**
 * What lives on the heap and in buffers after a collection, in bytes.
 *
 * @throws Error without `--expose-gc`.
 */
export function heapBytes(): number {
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

/** What the operating system counts for this process after a collection, in bytes. */
export function residentBytes(): number {
    collectGarbage();
    return process.memoryUsage.rss();
}

/**
 * Processor time of one call of a synchronous function, in microseconds: one mean for each round.
 *
 * @param work - What to call, many times over.
 */
export async function timeCalls(work: () => unknown): Promise<number[]> {
    // Loaded here, so that it is not in the memory of probes that don't time calls.
    const { measure } = await import("mitata");
    const means: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
        const { avg } = await measure(work, { min_cpu_time: ROUND_NS });
        means.push(avg / NS_PER_US);
    }
    return means;
}

/** What was built, and the memory that it takes. */
export interface Built<Value> {
    readonly value: Value;
    /** On the heap and in buffers, in bytes. */
    readonly bytes: number;
}

// What was weighed stays alive: were it collected during the next weighing, its memory would be taken off that one's.
const weighed: unknown[] = [];

/** Builds something and says what it takes of the heap. The value is kept until the process ends. */
export function weigh<Value>(build: () => Value): Built<Value> {
    const before = heapBytes();
    const value = build();
    weighed.push(value);
    return { value, bytes: heapBytes() - before };
}

/**
 * Processor time of one run of a slow function, in milliseconds, all threads counted: one figure for each round.
 *
 * @param work - What to run.
 */
export async function timeRuns(work: () => unknown): Promise<number[]> {
    const figures: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
        const { processorMs } = await timeProcess(async () => work());
        figures.push(processorMs);
    }
    return figures;
}

/** What a stretch of time cost this process. */
export interface Usage {
    /** Processor time of all threads, in milliseconds. */
    readonly processorMs: number;
    /** How long it took, in milliseconds. */
    readonly elapsedMs: number;
}

/**
 * Processor time of the process while a task runs, all its threads counted.
 *
 * @param work - The task.
 */
export async function timeProcess(work: () => Promise<unknown>): Promise<Usage> {
    collectGarbage();
    const startedAt = clock.monotonic();
    const before = process.cpuUsage();
    await work();
    const { user, system } = process.cpuUsage(before);
    return { processorMs: (user + system) / US_PER_MS, elapsedMs: clock.monotonic() - startedAt };
}

function collectGarbage(): void {
    if (!globalThis.gc) throw new Error("run node with --expose-gc");
    globalThis.gc();
    globalThis.gc();
}
