import { SystemClock } from "../../../ports/index.js";

/** Number of samples for each value at each size. */
export const ROUNDS = 5;
const MIN_ROUND_CPU_NS = 60_000_000;
const NS_PER_US = 1_000;
const US_PER_MS = 1_000;

const clock = new SystemClock();

/**
 * Returns the memory in use on the heap and in buffers after a garbage collection, in bytes.
 *
 * @throws Error without `--expose-gc`.
 */
export function heapBytes(): number {
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

/** Returns the resident memory of this process after a garbage collection, in bytes. */
export function residentBytes(): number {
    collectGarbage();
    return process.memoryUsage.rss();
}

/**
 * Measures the processor time of one call of a synchronous function, in microseconds.
 *
 * @param work - Function to call many times.
 * @returns The mean of each round.
 */
export async function timeCalls(work: () => unknown): Promise<number[]> {
    // Imported here, so that it takes no memory in probes that don't time calls.
    const { measure } = await import("mitata");
    const means: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
        const { avg } = await measure(work, { min_cpu_time: MIN_ROUND_CPU_NS });
        means.push(avg / NS_PER_US);
    }
    return means;
}

/** Built value and the memory that it occupies. */
export interface BuiltValue<Value> {
    readonly value: Value;
    /** Memory on the heap and in buffers, in bytes. */
    readonly bytes: number;
}

// Retains measured values: one collected during the next measurement would reduce that one's result by its own memory.
const retainedValues: unknown[] = [];

/** Builds a value and measures the heap memory that it occupies. The value is retained until the process ends. */
export function measureHeap<Value>(build: () => Value): BuiltValue<Value> {
    const bytesBefore = heapBytes();
    const value = build();
    retainedValues.push(value);
    return { value, bytes: heapBytes() - bytesBefore };
}

/**
 * Measures the processor time of one run of a slow function on all threads, in milliseconds.
 *
 * @param work - Function to run.
 * @returns The time of each round.
 */
export async function timeRuns(work: () => unknown): Promise<number[]> {
    const durationsMs: number[] = [];
    for (let round = 0; round < ROUNDS; round++) {
        const { processorMs } = await timeProcess(async () => work());
        durationsMs.push(processorMs);
    }
    return durationsMs;
}

/** Processor time that this process used during a period. */
export interface ProcessUsage {
    /** Processor time of all threads, in milliseconds. */
    readonly processorMs: number;
    /** Length of the period, in milliseconds. */
    readonly elapsedMs: number;
}

/**
 * Measures the processor time of the process on all threads while a task runs.
 *
 * @param work - Task to run.
 */
export async function timeProcess(work: () => Promise<unknown>): Promise<ProcessUsage> {
    collectGarbage();
    const startedAt = clock.monotonic();
    const usageBefore = process.cpuUsage();
    await work();
    const { user, system } = process.cpuUsage(usageBefore);
    return { processorMs: (user + system) / US_PER_MS, elapsedMs: clock.monotonic() - startedAt };
}

function collectGarbage(): void {
    if (!globalThis.gc) throw new Error("run node with --expose-gc");
    globalThis.gc();
    globalThis.gc();
}
