import { readdirSync, readFileSync } from "node:fs";

const KB_PER_MB = 1_024;

/**
 * Returns the most memory that a process has had resident at any time, in MB.
 *
 * @param pid - A running process.
 */
export function readPeakMemoryMb(pid: number): number {
    return readStatusKb(pid, "VmHWM") / KB_PER_MB;
}

/** Returns the memory that a running process has resident now, in MB. */
export function readMemoryMb(pid: number): number {
    return readStatusKb(pid, "VmRSS") / KB_PER_MB;
}

/** Returns the number of descriptors that a running process has open. */
export function countDescriptors(pid: number): number {
    return readdirSync(`/proc/${pid}/fd`).length;
}

function readStatusKb(pid: number, field: string): number {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const [, text] = new RegExp(`^${field}:\\s+(\\d+) kB`, "m").exec(status) ?? [];
    if (text === undefined) throw new Error(`process ${pid} has no ${field}`);
    return Number(text);
}
