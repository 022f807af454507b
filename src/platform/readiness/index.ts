import { HttpHandler } from "../../ports/index.js";

const READY_PATH = "/readyz";

/**
 * Gives the handler of the platform's question whether a machine may get callers.
 *
 * @param isReady - Asked each time.
 */
export function serveReadiness(isReady: () => boolean): HttpHandler {
    return async (req, res) => {
        const status = req.path.split("?")[0] !== READY_PATH ? 404 : isReady() ? 200 : 503;
        res.head(status, [["content-length", "0"]]);
        res.end();
    };
}
