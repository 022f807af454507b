import { RequestId } from "../../ids/index.js";
import { HttpHandler, HttpRequest, HttpResponse } from "../../ports/index.js";
import { CALLER_PATHS } from "../../protocol/index.js";
import { PeerIdentity } from "../../wire/index.js";
import { CallerError, sendCallerError } from "../callerError/index.js";
import { EntryContext } from "../entryContext/index.js";
import { serveChat } from "../serveChat/index.js";
import { serveService } from "../serveService/index.js";

/**
 * Creates the HTTP handler of the callers' port: chats, service calls, health and readiness.
 *
 * @example
 * await http.serve(address, limits, serveCallers(ctx, self));
 */
export function serveCallers(ctx: EntryContext, self: PeerIdentity): HttpHandler {
    return async (req, res) => {
        const id = ctx.random.id() as RequestId;
        const path = req.path.split("?", 1)[0];
        if (path === CALLER_PATHS.health) return sendState(res, 200, "alive");
        if (path === CALLER_PATHS.ready) return sendReadiness(ctx, res);
        if (path === CALLER_PATHS.chat) return serveChatPath(ctx, req, res, id, self);
        if (path.startsWith(CALLER_PATHS.services)) return serveService(ctx, req, res, id, self);
        return sendCallerError(res, new CallerError(404, "not-found", "nothing is served here"), id);
    };
}

async function serveChatPath(
    ctx: EntryContext,
    req: HttpRequest,
    res: HttpResponse,
    id: RequestId,
    self: PeerIdentity,
): Promise<void> {
    if (req.method === "POST") return serveChat(ctx, req, res, id, self.host);
    return sendCallerError(res, new CallerError(405, "method-unknown", "chats are sent with POST"), id);
}

/** Reports whether the load balancer may send callers to this host. */
function sendReadiness(ctx: EntryContext, res: HttpResponse): void {
    if (ctx.isDraining()) return sendState(res, 503, "draining");
    if (!ctx.control.isFresh()) return sendState(res, 503, "no-view");
    return sendState(res, 200, "ready");
}

function sendState(res: HttpResponse, status: number, state: string): void {
    res.head(status, [["content-type", "application/json"]]);
    res.end(JSON.stringify({ state }));
}
