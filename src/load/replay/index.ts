import { ControlAction } from "../../emulator/index.js";
import { Caller, CallerConfig, CallerPorts } from "../caller/index.js";
import { RequestResult } from "../outcome/index.js";
import { Trace, TraceFault, TraceRequest } from "../trace/index.js";

/** How a trace is replayed. */
export interface ReplayConfig extends CallerConfig {
    /** The key of each workspace that the trace names. */
    readonly keys: ReadonlyMap<string, string>;
    /** Times in the trace are divided by this. */
    readonly speed: number;
    /** Brings about the trace's faults. */
    readonly applyFault?: FaultApplier;
}

/** Does one thing to the stand-ins. */
export type FaultApplier = (action: ControlAction) => Promise<void>;

/** A trace that can't be replayed. */
export class ReplayError extends Error {}

/** Told of each request's end. */
export type ResultListener = (result: RequestResult) => void;

/**
 * Replays a trace: each request leaves, and each fault comes, at its own time, whatever became of those before.
 *
 * @param ports - What the callers run on.
 * @param trace - The trace.
 * @param cfg - How it is replayed.
 * @param listener - Told of each request's end.
 * @returns What the requests came to, in the order of the trace.
 * @throws ReplayError when a workspace has no key, or a trace with faults nobody to bring them about.
 * @example
 * const results = await replayTrace(ports, trace, { ...DEFAULT_CALLER, addresses, keys, speed: 1 });
 */
export async function replayTrace(
    ports: CallerPorts,
    trace: Trace,
    cfg: ReplayConfig,
    listener: ResultListener = () => undefined,
): Promise<RequestResult[]> {
    for (const { name } of trace.header.workspaces) {
        if (!cfg.keys.has(name)) throw new ReplayError(`no key for workspace ${name}`);
    }
    const { applyFault } = cfg;
    if (trace.faults.length > 0 && !applyFault) {
        throw new ReplayError("the trace has faults; say who brings them about");
    }
    const caller = new Caller(ports, cfg);
    const startedAt = ports.clock.monotonic();
    const waitUntil = (atMs: number): Promise<void> =>
        ports.clock.sleep(startedAt + atMs / cfg.speed - ports.clock.monotonic());
    const breakOne = async ({ at_ms, action }: TraceFault): Promise<void> => {
        await waitUntil(at_ms);
        await applyFault?.(action);
    };
    const runOne = async (request: TraceRequest): Promise<RequestResult> => {
        await waitUntil(request.at_ms);
        const result = await caller.run(request, cfg.keys.get(request.workspace)!);
        listener(result);
        return result;
    };
    const [results] = await Promise.all([
        Promise.all(trace.requests.map(runOne)),
        Promise.all(trace.faults.map(breakOne)),
    ]);
    return results;
}
