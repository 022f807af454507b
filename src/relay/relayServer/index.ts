import { Either } from "purify-ts";
import { SendGuard } from "../../dispatch/index.js";
import { PoolId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { WaitCondition } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import {
    BodyError,
    Clock,
    findHeader,
    formatAddress,
    HeaderList,
    HttpError,
    HttpHandler,
    HttpReply,
    HttpRequest,
    HttpResponse,
} from "../../ports/index.js";
import { UpstreamRegistry, UpstreamSignals, UpstreamTarget } from "../../upstream/index.js";
import { DirectSender } from "../directSender/index.js";
import { PathMonitor } from "../pathMonitor/index.js";
import { RelayDirectory } from "../relayDirectory/index.js";
import { encodeRelayFrame, encodeRelayMessage, FRAME_KINDS, splitRelayRequest } from "../relayFrame/index.js";
import {
    BrokenBody,
    RELAY_EXCHANGE_HEADER,
    RELAY_METHOD,
    RELAY_PATH,
    RelayAnswer,
    RelayRefusalReason,
    RelayRequest,
    RelayTarget,
} from "../relayMessage/index.js";

/** Maximum number of relayed requests under way, and of bytes of their bodies. */
const MAX_REQUESTS = 256;
const MAX_BODY_BYTES_UNDER_WAY = 16 * 1024 * 1024;
/** Maximum size of one request with its head, in bytes. */
const MAX_REQUEST_BYTES = 8 * 1024 * 1024;
/** Timeout for connecting to an upstream, in milliseconds. */
const CONNECT_TIMEOUT_MS = 150;
/** Interval at which the end of all requests is checked in any case, in milliseconds. */
const IDLE_CHECK_MS = 1_000;
const CONTENT_TYPE = ["content-type", "application/octet-stream"] as const;

type RelayedCall = Extract<RelayRequest, { kind: "call"; }>;

/** Options of `RelayServer`. */
export interface RelayServerOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly directory: Pick<RelayDirectory, "isMember">;
    readonly registry: Pick<UpstreamRegistry, "get">;
    readonly sender: DirectSender;
    readonly paths: PathMonitor;
    /** Checks upstreams by what they stated to this host, which they take for the sender. */
    readonly sendGuard: SendGuard;
    /** Reads what an upstream's answer states about itself. */
    readonly readSignals: (reply: HttpReply) => UpstreamSignals;
}

/** A request that is not sent, and why. */
interface RelayRefusal {
    readonly reason: RelayRefusalReason;
    readonly detail: string;
    readonly leftMs?: number;
}

/**
 * Sends requests to upstreams for other hosts of the fleet that have lost their paths. It sends them directly only, never through a
 * further relay, and only to upstreams that are registered with that address and run.
 *
 * @example
 * const relays = new RelayServer(options);
 * const listener = await http.serve(address, limits, relays.handler);
 */
export class RelayServer {
    private underWay = 0;
    private bodyBytes = 0;
    private isDraining = false;
    private readonly ended = new WaitCondition();

    constructor(private readonly options: RelayServerOptions) {}

    /** Number of relayed requests under way. */
    get size(): number {
        return this.underWay;
    }

    /** Handles requests of other hosts. */
    readonly handler: HttpHandler = async (req, res) => {
        if (!this.isAllowed(req)) return sendStatus(req, res, 403);
        if (req.method !== RELAY_METHOD || req.path !== RELAY_PATH) return sendStatus(req, res, 404);
        const read = await req.body(MAX_REQUEST_BYTES);
        if (read.isLeft()) return answerUnread(read.extract() as BodyError, req, res);
        const { message, body } = splitRelayRequest(read.unsafeCoerce());
        const request = message as RelayRequest;
        if (request.kind === "probe") return this.answerProbe(request.target, req, res);
        return this.relay(request, body, req, res);
    };

    /** Refuses further requests; those under way go on. */
    drain(): void {
        this.isDraining = true;
    }

    /** Resolves when no request is under way, or the signal is aborted. */
    async whenIdle(signal: AbortSignal): Promise<void> {
        while (this.underWay > 0 && !signal.aborted) {
            await this.ended.wait(this.options.clock, IDLE_CHECK_MS, signal);
        }
    }

    private isAllowed({ remote }: HttpRequest): boolean {
        const { directory, logger, metrics } = this.options;
        const ip = remote.replace(/:\d+$/, "");
        if (directory.isMember(ip)) return true;
        metrics.count("relay_denied", 1);
        logger.warn("relay-denied", { remote });
        return false;
    }

    private async answerProbe(relayTarget: RelayTarget, req: HttpRequest, res: HttpResponse): Promise<void> {
        const target = this.findTarget(relayTarget);
        const finding = target ? await this.options.paths.probeForPeer(target) : "unknown";
        res.head(200, answerHeaders(req));
        res.end(encodeAnswer({ kind: "probed", finding }));
    }

    private async relay(call: RelayedCall, body: Uint8Array, req: HttpRequest, res: HttpResponse): Promise<void> {
        const target = this.findTarget(call.target);
        const refusal = target ? this.findRefusal(target, body) : describeUnknown(call.target);
        if (refusal || !target) {
            this.recordOutcome(call, refusal!.reason);
            res.head(200, answerHeaders(req));
            return res.end(encodeAnswer({ kind: "not-sent", ...refusal! }));
        }
        this.underWay++;
        this.bodyBytes += body.length;
        try {
            await this.sendAndAnswer(call, target, body, req, res);
        }
        finally {
            this.underWay--;
            this.bodyBytes -= body.length;
            if (this.underWay === 0) this.ended.notifyAll();
        }
    }

    private async sendAndAnswer(
        call: RelayedCall,
        target: UpstreamTarget,
        body: Uint8Array,
        req: HttpRequest,
        res: HttpResponse,
    ): Promise<void> {
        const sent = await this.send(call, target, body, req.closed);
        res.head(200, answerHeaders(req));
        if (sent.isLeft()) {
            const answer = describeFailure(sent.extract() as HttpError);
            this.recordOutcome(call, answer.kind);
            return res.end(encodeAnswer(answer));
        }
        const reply = sent.unsafeCoerce();
        const { status, headers, connection } = reply;
        const { pool, upstream, incarnation } = target;
        const signals = this.options.readSignals(reply);
        this.options.sendGuard.recordAnswer({ pool, upstream, incarnation, request: undefined, signals });
        await res.write(encodeAnswer({ kind: "reply", status, headers, connection }));
        this.recordOutcome(call, await forwardBody(reply, res) ? "reply" : "broken");
    }

    private send(
        { method, path, id, headers, hasBody, newConnection, recentlyUsedOnly, headTimeoutMs }: RelayedCall,
        target: UpstreamTarget,
        body: Uint8Array,
        signal: AbortSignal,
    ): Promise<Either<HttpError, HttpReply>> {
        return this.options.sender.send({
            target,
            method,
            path,
            id,
            headers,
            body: hasBody ? body : undefined,
            newConnection,
            recentlyUsedOnly,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            headTimeoutMs,
            signal,
        }, state => {
            if (state === "open") this.options.paths.recordConnection(target);
        });
    }

    /** Returns the registered upstream that a request names; undefined where none runs there as named. */
    private findTarget(
        { pool, upstream: id, incarnation, software, address }: RelayTarget,
    ): UpstreamTarget | undefined {
        const upstream = this.options.registry.get(id as UpstreamId);
        if (!upstream || upstream.state === "gone" || !upstream.pools.includes(pool as PoolId)) return undefined;
        if (upstream.announcement.incarnation !== incarnation) return undefined;
        if (formatAddress(upstream.address) !== address) return undefined;
        const required = software === undefined ? {} : { software: software as SoftwareVersion };
        return { pool: pool as PoolId, upstream: upstream.id, incarnation, ...required, address: upstream.address };
    }

    private findRefusal(target: UpstreamTarget, body: Uint8Array): RelayRefusal | undefined {
        if (this.isDraining) return { reason: "draining", detail: "this host is about to stop" };
        if (this.underWay >= MAX_REQUESTS) return { reason: "full", detail: `${MAX_REQUESTS} requests are under way` };
        if (this.bodyBytes + body.length > MAX_BODY_BYTES_UNDER_WAY) {
            return { reason: "full", detail: `${this.bodyBytes} bytes of requests are under way` };
        }
        if (this.options.paths.isLost(target)) return { reason: "cut-off", detail: "this host has lost its path too" };
        const { upstream, incarnation, software } = target;
        const block = this.options.sendGuard.findBlock({ upstream, incarnation, software }, software);
        return block && { reason: "blocked", detail: block.reason, leftMs: block.leftMs };
    }

    private recordOutcome({ origin, target: { upstream } }: RelayedCall, outcome: string): void {
        this.options.metrics.count("relayed_for_peers", 1, { outcome });
        this.options.logger.debug("relayed", { origin, upstream, outcome });
    }
}

function describeUnknown({ upstream, address }: RelayTarget): RelayRefusal {
    return { reason: "unknown-upstream", detail: `${upstream} at ${address} is not registered here as that run` };
}

function describeFailure({ mayHaveBeenSent, reason, message }: HttpError): RelayAnswer {
    if (mayHaveBeenSent) return { kind: "lost", reason, detail: message };
    return { kind: "not-sent", reason: "unreachable", detail: message };
}

/**
 * Passes the body on, each piece as it arrives and no faster than the other host reads.
 *
 * @returns Whether the body was complete.
 */
async function forwardBody(reply: HttpReply, res: HttpResponse): Promise<boolean> {
    try {
        for await (const chunk of reply.body) await res.write(encodeRelayFrame(FRAME_KINDS.data, chunk));
    }
    catch (err) {
        const { reason = "closed", message } = err as HttpError;
        const broken: BrokenBody = { reason, detail: message };
        res.end(encodeRelayMessage(FRAME_KINDS.broken, broken));
        return false;
    }
    res.end(encodeRelayFrame(FRAME_KINDS.end));
    return true;
}

function encodeAnswer(answer: RelayAnswer): Uint8Array {
    return encodeRelayMessage(FRAME_KINDS.message, answer);
}

/** Returns the headers of each answer to a request. */
function answerHeaders({ headers }: HttpRequest): HeaderList {
    const exchange = findHeader(headers, RELAY_EXCHANGE_HEADER);
    return exchange === undefined ? [CONTENT_TYPE] : [CONTENT_TYPE, [RELAY_EXCHANGE_HEADER, exchange]];
}

function answerUnread({ reason }: BodyError, req: HttpRequest, res: HttpResponse): void {
    if (reason !== "over-capacity") return sendStatus(req, res, 413);
    res.head(200, answerHeaders(req));
    res.end(encodeAnswer({ kind: "not-sent", reason: "full", detail: "callers' budget is used up" }));
}

function sendStatus(req: HttpRequest, res: HttpResponse, status: number): void {
    res.head(status, [...answerHeaders(req), ["content-length", "0"]]);
    res.end();
}
