import * as z from "zod";
import { Clock, HttpHandler } from "../../ports/index.js";
import { readJson, sendEmpty, sendJson } from "../_lib/json.js";
import { EmulatedCallUpstream } from "../emulatedCallUpstream/index.js";

/** Paths of the control API of an emulated upstream that runs as a process of its own. */
export const CALL_UPSTREAM_PATHS = { runs: "/runs", silence: "/silence" } as const;

const silenceSchema = z.strictObject({ ms: z.number().min(0) });

/** Answer to `GET /runs`: the calls that the upstream began to run, with times of the wall clock, in milliseconds. */
export const upstreamRunsSchema = z.array(z.object({
    request: z.string(),
    path: z.string(),
    at: z.number(),
    /** Undefined while it runs. */
    endedAt: z.number().optional(),
    isWhole: z.boolean(),
}));
export type UpstreamRuns = z.infer<typeof upstreamRunsSchema>;

/**
 * Returns the HTTP handler that controls an emulated upstream: `GET /runs` returns what it ran, and `POST /silence` with `{"ms": N}`
 * suspends its answers, with all connections left open.
 *
 * @param clock - The clock of the upstream.
 * @param upstream - The upstream.
 */
export function serveCallUpstreamControl(clock: Clock, upstream: EmulatedCallUpstream): HttpHandler {
    return async (req, res) => {
        if (req.path === CALL_UPSTREAM_PATHS.runs) return sendJson(res, 200, listRuns(clock, upstream));
        if (req.path !== CALL_UPSTREAM_PATHS.silence) return sendJson(res, 404, { error: "no such path" });
        const body = await readJson(req, silenceSchema);
        body.caseOf({
            Left: err => sendJson(res, 400, { error: err.message }),
            Right: ({ ms }) => {
                upstream.fallSilent(ms);
                sendEmpty(res, 204);
            },
        });
    };
}

function listRuns(clock: Clock, { runs }: EmulatedCallUpstream): UpstreamRuns {
    const offsetMs = clock.now() - clock.monotonic();
    return runs.map(({ request, path, at, end }) => ({
        request,
        path,
        at: at + offsetMs,
        ...(end ? { endedAt: end.at + offsetMs } : {}),
        isWhole: end?.isWhole ?? false,
    }));
}
