import { HttpHandler } from "../../ports/index.js";
import { CALLER_PATHS } from "../../protocol/index.js";

/**
 * Returns an HTTP handler for the health and readiness checks that passes other requests to another handler.
 *
 * @param isReady - Returns whether the process currently performs its role.
 * @param fallback - Handles all other paths; without it, they are answered with 404.
 */
export function serveHealth(isReady: () => boolean, fallback?: HttpHandler): HttpHandler {
    return async (req, res) => {
        const isHealthPath = req.path === CALLER_PATHS.health || req.path === CALLER_PATHS.ready;
        if (!isHealthPath && fallback) return fallback(req, res);
        const [status, state] = getStatus(req.path, isReady);
        res.head(status, [["content-type", "application/json"]]);
        res.end(JSON.stringify({ state }));
    };
}

function getStatus(path: string, isReady: () => boolean): [status: number, state: string] {
    if (path === CALLER_PATHS.health) return [200, "alive"];
    if (path !== CALLER_PATHS.ready) return [404, "not-found"];
    return isReady() ? [200, "ready"] : [503, "not-ready"];
}
