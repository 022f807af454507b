import { HttpHandler } from "../../ports/index.js";
import { CALLER_PATHS } from "../../protocol/index.js";

/**
 * Gives the handler of health and readiness.
 *
 * @param isReady - Says whether this process does its part at present.
 */
export function serveHealth(isReady: () => boolean): HttpHandler {
    return async (req, res) => {
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
