import { HttpHandler } from "../../ports/index.js";
import { CALLER_PATHS } from "../../protocol/index.js";

/**
 * Gives the handler of health and readiness, beside another on the same port.
 *
 * @param isReady - Says whether this process does its part at present.
 * @param other - Gets all other paths; 404 without one.
 */
export function serveHealth(isReady: () => boolean, other?: HttpHandler): HttpHandler {
    return async (req, res) => {
        const isHealth = req.path === CALLER_PATHS.health || req.path === CALLER_PATHS.ready;
        if (!isHealth && other) return other(req, res);
        const [status, state] = judge(req.path, isReady);
        res.head(status, [["content-type", "application/json"]]);
        res.end(JSON.stringify({ state }));
    };
}

function judge(path: string, isReady: () => boolean): [status: number, state: string] {
    if (path === CALLER_PATHS.health) return [200, "alive"];
    if (path !== CALLER_PATHS.ready) return [404, "not-found"];
    return isReady() ? [200, "ready"] : [503, "not-ready"];
}
