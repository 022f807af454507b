import { RequestId } from "../../ids/index.js";
import { CallContext } from "../callContext/index.js";

/**
 * Logs and counts an error that no code expects. The call that met it ends with it.
 *
 * @param request - The caller's id of the attempt, when it could be read.
 * @example
 * catch (err) {
 *     recordInternalError(ctx, request, err);
 * }
 */
export function recordInternalError(
    { logger, metrics }: Pick<CallContext, "logger" | "metrics">,
    request: RequestId | undefined,
    err: unknown,
): void {
    metrics.count("internal_errors", 1);
    logger.error("internal-error", { request, problem: err instanceof Error ? err.stack : String(err) });
}
