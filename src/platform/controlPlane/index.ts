import { RoutingService, UnknownZoneError } from "../../control/index.js";
import { UpstreamId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { HttpHandler, HttpRequest, HttpResponse } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";
import { readDocument } from "../documentReader/index.js";
import { endAnnouncement, readHeartbeat } from "../heartbeat/index.js";

const MOST_HEARTBEAT_BYTES = 64 * 1024;
/** Room for the largest configuration: thousands of routes. */
const MOST_CONFIG_BYTES = 16 * 1024 * 1024;
const INSTANCE_PATH = /^\/instances\/([^/?]+)\/(heartbeat|deregister)$/;
const EVACUATION_PATH = /^\/evacuations\/([^/?]+)\/(begin|finish)$/;
const RETRY_AFTER: [string, string] = ["retry-after", "0.2"];

/**
 * Gives the handler of the calls that engines and the operator make at control processes.
 *
 * @param routing - The process's part in routed calls.
 */
export function serveControlPlane(routing: RoutingService, logger: Logger): HttpHandler {
    return async (req, res) => {
        const [, id, verb] = INSTANCE_PATH.exec(req.path) ?? [];
        if (req.method === "POST" && verb === "heartbeat") return takeHeartbeat(routing, logger, id, req, res);
        if (req.method === "POST" && verb === "deregister") return takeDeparture(routing, logger, id, res);
        if (req.method === "POST" && req.path === "/config/replace") return replaceConfig(routing, logger, req, res);
        if (req.method === "GET" && req.path.split("?")[0] === "/config/read") return readConfig(routing, res);
        const [, zone, order] = EVACUATION_PATH.exec(req.path) ?? [];
        if (req.method === "POST" && order) return orderZone(routing, decodeURIComponent(zone) as ZoneId, order, res);
        return answer(res, 404, { error: "not found" });
    };
}

async function takeHeartbeat(
    routing: RoutingService,
    logger: Logger,
    id: string,
    req: HttpRequest,
    res: HttpResponse,
): Promise<void> {
    const body = await req.body(MOST_HEARTBEAT_BYTES);
    if (body.isLeft()) return answer(res, 413, { error: "the body could not be read" });
    const beat = readHeartbeat(decodeURIComponent(id), body.unsafeCoerce());
    if (beat.isLeft()) {
        const problem = beat.extract().message;
        logger.warn("heartbeat-unreadable", { upstream: id, problem });
        return answer(res, 400, { error: problem });
    }
    return confirm(routing, logger, beat.unsafeCoerce(), res);
}

/** An engine that this process has not heard of must tell another one, since only its earlier word says what it was. */
async function takeDeparture(routing: RoutingService, logger: Logger, id: string, res: HttpResponse): Promise<void> {
    const known = routing.registry.get(decodeURIComponent(id) as UpstreamId);
    if (!known) {
        logger.warn("departure-unknown", { upstream: id });
        return answer(res, 503, { error: "this instance is not known here" }, [RETRY_AFTER]);
    }
    return confirm(routing, logger, endAnnouncement(known.announcement), res);
}

async function confirm(
    routing: RoutingService,
    logger: Logger,
    announcement: Announcement,
    res: HttpResponse,
): Promise<void> {
    const { id: upstream, state, incarnation, sequence } = announcement;
    const isTaken = await routing.publisher.take(announcement);
    if (state !== "ready" || !isTaken) {
        logger.info("upstream-state", { upstream, state, incarnation, sequence, isTaken });
    }
    if (isTaken) return answer(res, 200, {});
    return answer(res, 503, { error: "no entry can be reached from here" }, [RETRY_AFTER]);
}

async function replaceConfig(
    routing: RoutingService,
    logger: Logger,
    req: HttpRequest,
    res: HttpResponse,
): Promise<void> {
    const body = await req.body(MOST_CONFIG_BYTES);
    if (body.isLeft()) return answer(res, 400, { error: "the body could not be read in full" });
    const source = body.unsafeCoerce();
    const document = readDocument(source);
    if (document.isLeft()) {
        const problem = document.extract().message;
        logger.warn("document-refused", { problem });
        return answer(res, 400, { error: problem });
    }
    const outcome = await routing.documents.replace({
        kind: "document.replace",
        document: document.unsafeCoerce(),
        source,
    });
    return outcome.caseOf({
        Left: err => answer(res, 503, { error: err.message }, [RETRY_AFTER]),
        Right: () => answer(res, 200, { version: document.unsafeCoerce().version }),
    });
}

async function orderZone(routing: RoutingService, zone: ZoneId, order: string, res: HttpResponse): Promise<void> {
    const kind = order === "begin" ? "zone.evacuate" : "zone.restore";
    const outcome = await routing.zones.order({ kind, zone });
    return outcome.caseOf({
        Left: err =>
            err instanceof UnknownZoneError
                ? answer(res, 404, { error: err.message })
                : answer(res, 503, { error: err.message }, [RETRY_AFTER]),
        Right: () => answer(res, 200, {}),
    });
}

async function readConfig(routing: RoutingService, res: HttpResponse): Promise<void> {
    const read = await routing.documents.read();
    const held = read.toMaybe().extract();
    if (!held) {
        const problem = read.isLeft() ? read.extract().message : "there is no configuration yet";
        return answer(res, 503, { error: problem }, [RETRY_AFTER]);
    }
    res.head(200, [["content-type", "application/json"], ["content-length", String(held.source.length)]]);
    res.end(held.source);
}

function answer(res: HttpResponse, status: number, body: unknown, headers: [string, string][] = []): void {
    const bytes = Buffer.from(JSON.stringify(body));
    const length: [string, string] = ["content-length", String(bytes.length)];
    res.head(status, [["content-type", "application/json"], length, ...headers]);
    res.end(bytes);
}
