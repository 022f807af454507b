import { ControlAction } from "../../emulator/index.js";
import { Caller, CallerConfig, CallerPorts } from "../caller/index.js";
import { RequestResult } from "../requestResult/index.js";
import { Trace, TraceFault, TraceRequest } from "../trace/index.js";

/** Options of a replay. */
export interface ReplayConfig extends CallerConfig {
    /** API keys by workspace name, for each workspace in the trace's header. */
    readonly keys: ReadonlyMap<string, string>;
    /** Factor by which the times in the trace are divided. */
    readonly speed: number;
    /** Injects the trace's faults; required when it has any. */
    readonly applyFault?: FaultApplier;
}

/** Applies a fault action to the emulated upstreams. */
export type FaultApplier = (action: ControlAction) => Promise<void>;

/** A trace that can't be replayed. */
export class ReplayError extends Error {}

/** Called with the result of each request when it ends. */
export type ResultListener = (result: RequestResult) => void;

/**
 * Replays a trace in open loop: each request is sent and each fault injected at its own time, regardless of earlier results.
 *
 * @param ports - Ports that the callers use.
 * @param trace - Trace to replay.
 * @param cfg - Options of the replay.
 * @param listener - Called with the result of each request when it ends.
 * @returns The results of the requests, in the order of the trace.
 * @throws ReplayError when a workspace has no key, or the trace has faults and `applyFault` is missing.
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
    const injectFault = async ({ at_ms, action }: TraceFault): Promise<void> => {
        await waitUntil(at_ms);
        await applyFault?.(action);
    };
    const sendRequest = async (request: TraceRequest): Promise<RequestResult> => {
        await waitUntil(request.at_ms);
        const result = await caller.run(request, cfg.keys.get(request.workspace)!);
        listener(result);
        return result;
    };
    const [results] = await Promise.all([
        Promise.all(trace.requests.map(sendRequest)),
        Promise.all(trace.faults.map(injectFault)),
    ]);
    return results;
}
