import { Caller, CallerConfig, CallerPorts } from "../caller/index.js";
import { RequestResult } from "../outcome/index.js";
import { Trace, TraceRequest } from "../trace/index.js";

/** How a trace is replayed. */
export interface ReplayConfig extends CallerConfig {
    /** The key of each workspace that the trace names. */
    readonly keys: ReadonlyMap<string, string>;
    /** Times in the trace are divided by this. */
    readonly speed: number;
}

/** A trace that can't be replayed. */
export class ReplayError extends Error {}

/** Told of each request's end. */
export type ResultListener = (result: RequestResult) => void;

/**
 * Replays a trace: each request leaves at its own time, whatever became of those before.
 *
 * @param ports - What the callers run on.
 * @param trace - The trace.
 * @param cfg - How it is replayed.
 * @param listener - Told of each request's end.
 * @returns What the requests came to, in the order of the trace.
 * @throws ReplayError when a workspace has no key.
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
    const caller = new Caller(ports, cfg);
    const startedAt = ports.clock.monotonic();
    const runOne = async (request: TraceRequest): Promise<RequestResult> => {
        await ports.clock.sleep(startedAt + request.at_ms / cfg.speed - ports.clock.monotonic());
        const result = await caller.run(request, cfg.keys.get(request.workspace)!);
        listener(result);
        return result;
    };
    return Promise.all(trace.requests.map(runOne));
}
