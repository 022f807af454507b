import { HttpHandler } from "../../ports/index.js";

const READY_PATH = "/readyz";

/**
 * Returns the HTTP handler for the platform's readiness check, which decides whether the machine gets callers.
 *
 * @param isReady - Called on each check.
 */
export function serveReadiness(isReady: () => boolean): HttpHandler {
    return async (req, res) => {
        const status = req.path.split("?")[0] !== READY_PATH ? 404 : isReady() ? 200 : 503;
        res.head(status, [["content-length", "0"]]);
        res.end();
    };
}
