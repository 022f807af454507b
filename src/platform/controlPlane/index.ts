import { Either } from "purify-ts";
import { RoutingService, UnknownZoneError } from "../../control/index.js";
import { UpstreamId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { BodyError, decodeHeaderText, HttpHandler, HttpRequest, HttpResponse } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";
import { makeGoneAnnouncement, parseHeartbeat } from "../heartbeat/index.js";
import { parseFleetDocument } from "../parseFleetDocument/index.js";

const MAX_HEARTBEAT_BYTES = 64 * 1024;
/** Fits the largest configuration, which has thousands of routes. */
const MAX_CONFIG_BYTES = 16 * 1024 * 1024;
const INSTANCE_PATH = /^\/instances\/([^/?]+)\/(heartbeat|deregister)$/;
const EVACUATION_PATH = /^\/evacuations\/([^/?]+)\/(begin|finish)$/;
const RETRY_AFTER_HEADER: [string, string] = ["retry-after", "0.2"];

/**
 * Returns the HTTP handler for the calls of engines (heartbeat, deregister) and operators (configuration, evacuation) to a
 * control process.
 *
 * @param routing - Routing service of this process.
 */
export function serveControlPlane(routing: RoutingService, logger: Logger): HttpHandler {
    return async (req, res) => {
        const [, id, action] = INSTANCE_PATH.exec(req.path) ?? [];
        if (req.method === "POST" && action === "heartbeat") return handleHeartbeat(routing, logger, id, req, res);
        if (req.method === "POST" && action === "deregister") return handleDeregistration(routing, logger, id, res);
        if (req.method === "POST" && req.path === "/config/replace") return replaceConfig(routing, logger, req, res);
        if (req.method === "GET" && req.path.split("?")[0] === "/config/read") return readConfig(routing, res);
        const [, zone, step] = EVACUATION_PATH.exec(req.path) ?? [];
        if (req.method === "POST" && step) return setEvacuation(routing, decodeSegment(zone) as ZoneId, step, res);
        return respond(res, 404, { error: "not found" });
    };
}

async function handleHeartbeat(
    routing: RoutingService,
    logger: Logger,
    id: string,
    req: HttpRequest,
    res: HttpResponse,
): Promise<void> {
    const body = await req.body(MAX_HEARTBEAT_BYTES);
    if (body.isLeft()) return respondUnread(res, body.extract() as BodyError, 413);
    const heartbeat = parseHeartbeat(decodeSegment(id), body.unsafeCoerce());
    if (heartbeat.isLeft()) {
        const problem = heartbeat.extract().message;
        logger.warn("heartbeat-unreadable", { upstream: id, problem });
        return respond(res, 400, { error: problem });
    }
    return publishAnnouncement(routing, logger, heartbeat.unsafeCoerce(), res);
}

/**
 * Announces an engine as gone. Refuses an engine that is unknown here: the announcement repeats the engine's last one, which
 * only a process that received it has, so the engine must deregister at another process.
 */
async function handleDeregistration(
    routing: RoutingService,
    logger: Logger,
    id: string,
    res: HttpResponse,
): Promise<void> {
    const known = routing.registry.get(decodeSegment(id) as UpstreamId);
    if (!known) {
        logger.warn("departure-unknown", { upstream: id });
        return respond(res, 503, { error: "this instance is not known here" }, [RETRY_AFTER_HEADER]);
    }
    return publishAnnouncement(routing, logger, makeGoneAnnouncement(known.announcement), res);
}

async function publishAnnouncement(
    routing: RoutingService,
    logger: Logger,
    announcement: Announcement,
    res: HttpResponse,
): Promise<void> {
    const { id: upstream, state, incarnation, sequence } = announcement;
    const isAccepted = await routing.publisher.receive(announcement);
    if (state !== "ready" || !isAccepted) {
        logger.info("upstream-state", { upstream, state, incarnation, sequence, isTaken: isAccepted });
    }
    if (isAccepted) return respond(res, 200, {});
    return respond(res, 503, { error: "no entry can be reached from here" }, [RETRY_AFTER_HEADER]);
}

async function replaceConfig(
    routing: RoutingService,
    logger: Logger,
    req: HttpRequest,
    res: HttpResponse,
): Promise<void> {
    const body = await req.body(MAX_CONFIG_BYTES);
    if (body.isLeft()) return respondUnread(res, body.extract() as BodyError, 400);
    const source = body.unsafeCoerce();
    const document = parseFleetDocument(source);
    if (document.isLeft()) {
        const problem = document.extract().message;
        logger.warn("document-refused", { problem });
        return respond(res, 400, { error: problem });
    }
    const outcome = await routing.documents.replace({
        kind: "document.replace",
        document: document.unsafeCoerce(),
        source,
    });
    return outcome.caseOf({
        Left: err => respond(res, 503, { error: err.message }, [RETRY_AFTER_HEADER]),
        Right: () => respond(res, 200, { version: document.unsafeCoerce().version }),
    });
}

/** Decodes a part of a path; one whose percent signs encode nothing is taken as it is. */
function decodeSegment(segment: string): string {
    const text = decodeHeaderText(segment);
    return Either.encase(() => decodeURIComponent(text)).orDefault(text);
}

/** A call that there is no room for may be sent again, unlike one whose body can't be read. */
function respondUnread(res: HttpResponse, { reason }: BodyError, status: number): void {
    if (reason !== "over-capacity") return respond(res, status, { error: "the body could not be read in full" });
    return respond(res, 503, { error: "this host holds as much for callers as it may" }, [RETRY_AFTER_HEADER]);
}

async function setEvacuation(
    routing: RoutingService,
    zone: ZoneId,
    step: string,
    res: HttpResponse,
): Promise<void> {
    const kind = step === "begin" ? "zone.evacuate" : "zone.restore";
    const outcome = await routing.zones.order({ kind, zone });
    return outcome.caseOf({
        Left: err =>
            err instanceof UnknownZoneError
                ? respond(res, 404, { error: err.message })
                : respond(res, 503, { error: err.message }, [RETRY_AFTER_HEADER]),
        Right: () => respond(res, 200, {}),
    });
}

async function readConfig(routing: RoutingService, res: HttpResponse): Promise<void> {
    const read = await routing.documents.read();
    const heldDocument = read.toMaybe().extract();
    if (!heldDocument) {
        const problem = read.isLeft() ? read.extract().message : "there is no configuration yet";
        return respond(res, 503, { error: problem }, [RETRY_AFTER_HEADER]);
    }
    res.head(200, [["content-type", "application/json"], ["content-length", String(heldDocument.source.length)]]);
    res.end(heldDocument.source);
}

function respond(res: HttpResponse, status: number, body: unknown, headers: [string, string][] = []): void {
    const bytes = Buffer.from(JSON.stringify(body));
    const length: [string, string] = ["content-length", String(bytes.length)];
    res.head(status, [["content-type", "application/json"], length, ...headers]);
    res.end(bytes);
}
