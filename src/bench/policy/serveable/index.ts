import { PoolProfile } from "../deployment/index.js";
import { EngineFake } from "../engineFake/index.js";
import { idealSlotMs, PlannedRequest } from "../traffic/index.js";

/** Request whose work may be served in arbitrarily small portions. */
interface FluidTask {
    readonly arrivesAtMs: number;
    readonly deadlineMs: number;
    remainingMs: number;
    readonly tokensPerMs: number;
}

const INTERVAL_MS = 100;

/**
 * Returns an upper bound, which no policy reaches, of the answer tokens that the running engines could have served in
 * time. It treats work as a fluid: slots serve the earliest deadline first, every prefix is cached and messages take no
 * time. Work that is not done at its deadline, which is the target for the first token plus the request's own length, is
 * dropped.
 */
export function serveableTokens(
    pool: PoolProfile,
    engines: readonly EngineFake[],
    requests: readonly PlannedRequest[],
): number {
    const tasks: FluidTask[] = requests.map(request => {
        const slotMs = idealSlotMs(request, pool);
        const deadlineMs = request.atMs + request.classProfile.firstTokenMs + slotMs;
        return {
            arrivesAtMs: request.atMs,
            deadlineMs,
            remainingMs: slotMs,
            tokensPerMs: request.answerTokens / slotMs,
        };
    });
    const endMs = tasks.reduce((end, task) => Math.max(end, task.deadlineMs), 0);
    let openTasks: FluidTask[] = [];
    let next = 0;
    let tokens = 0;
    for (let atMs = 0; atMs < endMs; atMs += INTERVAL_MS) {
        while (next < tasks.length && tasks[next].arrivesAtMs < atMs + INTERVAL_MS) openTasks.push(tasks[next++]);
        openTasks = openTasks.filter(task => task.remainingMs > 0 && task.deadlineMs > atMs).sort((a, b) =>
            a.deadlineMs - b.deadlineMs
        );
        tokens += serveInterval(openTasks, slotsAt(engines, atMs) * INTERVAL_MS);
    }
    return tokens;
}

function slotsAt(engines: readonly EngineFake[], atMs: number): number {
    return engines.filter(engine => engine.startedAt <= atMs && (engine.endedAt ?? Infinity) > atMs)
        .reduce((sum, engine) => sum + engine.profile.slots, 0);
}

/** Serves tasks for one interval and returns the tokens served. A request occupies at most one slot. */
function serveInterval(openTasks: readonly FluidTask[], capacityMs: number): number {
    let remainingCapacityMs = capacityMs;
    let tokens = 0;
    for (const task of openTasks) {
        const usedMs = Math.min(task.remainingMs, INTERVAL_MS, remainingCapacityMs);
        task.remainingMs -= usedMs;
        remainingCapacityMs -= usedMs;
        tokens += usedMs * task.tokensPerMs;
        if (remainingCapacityMs <= 0) break;
    }
    return tokens;
}
