import { Either, Left, Right } from "purify-ts";
import { PartId, PoolId, RequestFingerprint, WorkspaceId } from "../../ids/index.js";
import { BodyError, findHeader, HttpRequest } from "../../ports/index.js";
import { fingerprintRequest } from "../../quarantine/index.js";
import { orOnAbort } from "../../request/index.js";
import { StreamStart } from "../../resumption/index.js";
import { pickTargetPool, Route, RouteTable } from "../../routing/index.js";
import { CallContext } from "../callContext/index.js";
import { CallHead } from "../callDialect/index.js";
import { CallError, CallErrorKind } from "../callError/index.js";
import { resolveResumption } from "../resolveResumption/index.js";

/**
 * Retry delay of calls refused for lack of a fresh document, in milliseconds: a lost holder of the control lease is
 * replaced within about two seconds. The jitter spreads the retries.
 */
const STALE_VIEW_RETRY_MS = 1_200;
const STALE_VIEW_JITTER_MS = 800;

/**
 * Retry delay of calls for which the callers' budget has no room, in milliseconds: the time after which a stalled caller gives its room up.
 * The jitter spreads the retries.
 */
const NO_ROOM_RETRY_MS = 500;
const NO_ROOM_JITTER_MS = 500;

/**
 * Maximum wait of a call for the first document after a start: a share of the caller's time limit, and an absolute
 * bound in milliseconds. When all processes have restarted, the control processes elect a holder within a second. A
 * caller that leaves a host without an answer does so after a third of its time limit.
 */
const FIRST_DOCUMENT_WAIT_RATIO = 1 / 3;
const MAX_FIRST_DOCUMENT_WAIT_MS = 1_200;

/** A routed call that has passed all checks and can be sent. */
export interface PreparedCall {
    readonly head: CallHead;
    readonly method: string;
    /** Path and query, as received. */
    readonly path: string;
    readonly body: Uint8Array;
    /** Hash of the call's content. */
    readonly fingerprint: RequestFingerprint;
    /** Ids of the parts of its prompt but the last, which other prompts may share. */
    readonly sharedParts: readonly PartId[];
    readonly route: Route;
    readonly pool: PoolId;
    /** Where the stream began that the call takes up; undefined for a call that takes none up. */
    readonly resumption: StreamStart | undefined;
    /** Undefined where the route needs no key. */
    readonly workspace: WorkspaceId | undefined;
    /** Rank by the tiers of its workspace and its route; 0 is the most urgent. */
    readonly tier: number;
    /** Monotonic time of its arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Monotonic time at which its final answer is due in any case, in milliseconds. */
    readonly deadlineAt: number;
}

type Caller = Pick<PreparedCall, "workspace" | "tier">;

/**
 * Reads and checks a call: its route, its key and its body.
 *
 * Prevents the use of a withdrawn key at an entry that is cut off from the control processes: beyond the freshness
 * lease, calls that need a key are refused. Calls that need none continue with the last received document.
 *
 * @param readHead - The request head as parsed by the dialect.
 */
export async function prepareCall(
    ctx: CallContext,
    req: HttpRequest,
    readHead: Either<CallError, CallHead>,
): Promise<Either<CallError, PreparedCall>> {
    const arrivedAt = ctx.clock.monotonic();
    const routes = ctx.view.routes() ?? await awaitFirstDocument(ctx, req, readHead);
    if (!routes) return Left(staleViewError(ctx, "this entry has no fleet document yet"));
    if (headerSizeBytes(req) > routes.limits.headerBytes) {
        return Left(new CallError("header-too-large", `headers take more than ${routes.limits.headerBytes} bytes`));
    }
    const read = readHead.chain(head =>
        findRoute(ctx, routes, req).chain(route =>
            identifyCaller(ctx, routes, route, head).map(caller => ({ head, route, caller }))
        )
    );
    if (read.isLeft()) return read as Either<CallError, never>;
    const { head, route, caller } = read.unsafeCoerce();
    const limitMs = Math.min(route.timeoutMs, head.deadlineMs ?? Number.POSITIVE_INFINITY);
    const body = (await readBody(ctx, req, routes.limits.bodyBytes, limitMs)).mapLeft(err => toCallError(ctx, err));
    if (body.isLeft()) return body as Either<CallError, never>;
    const bytes = body.unsafeCoerce();
    const resolved = await resolveResumption(ctx, route, caller.workspace, head);
    if (resolved.isLeft()) return resolved as Either<CallError, never>;
    const resumption = resolved.unsafeCoerce();
    const call: PreparedCall = {
        ...caller,
        head,
        route,
        method: req.method,
        path: req.path,
        body: bytes,
        fingerprint: fingerprintRequest({ ...caller, ...requestTarget(req), body: bytes }),
        sharedParts: head.parts.slice(0, -1).map(({ id }) => id as PartId),
        pool: resumption?.pool ?? pickTargetPool(route, ctx.random),
        resumption,
        arrivedAt,
        deadlineAt: arrivedAt + limitMs,
    };
    const err = checkQuarantine(ctx, call);
    return err ? Left(err) : Right(call);
}

/** Reads the body of a call. One that has not come whole when the call's time is over never will have run. */
async function readBody(
    ctx: CallContext,
    req: HttpRequest,
    limitBytes: number,
    limitMs: number,
): Promise<Either<BodyError, Uint8Array>> {
    const limit = new AbortController();
    const timer = ctx.clock.after(limitMs, () => limit.abort());
    const body = await orOnAbort(req.body(limitBytes), limit.signal, () => Left(new BodyError("timeout")));
    timer.cancel();
    return body;
}

/**
 * Holds a call that arrived before the first document, and returns the document.
 *
 * After a restart of all processes, callers reconnect as soon as a connection is accepted, and most make no further
 * attempt; a refusal just before the document arrives would leave them without an answer. An entry that had a document and
 * has lost the control processes refuses at once instead, since the caller's next connection may reach another host
 * with a fresh view.
 */
async function awaitFirstDocument(
    ctx: CallContext,
    req: HttpRequest,
    readHead: Either<CallError, CallHead>,
): Promise<RouteTable | undefined> {
    if (ctx.isDraining()) return undefined;
    const deadlineMs = readHead.map(head => head.deadlineMs).toMaybe().extract();
    const limitMs = Math.min(
        MAX_FIRST_DOCUMENT_WAIT_MS,
        FIRST_DOCUMENT_WAIT_RATIO * (deadlineMs ?? Number.POSITIVE_INFINITY),
    );
    await ctx.view.waitForRoutes(limitMs, req.closed);
    return ctx.view.routes();
}

/**
 * Checks the key again immediately before the call is sent.
 *
 * @returns Why the call must not be sent; undefined when it may.
 */
export function recheckKey(ctx: CallContext, { head, workspace }: PreparedCall): CallError | undefined {
    if (workspace === undefined) return undefined;
    if (!ctx.view.isFresh()) return staleViewError(ctx);
    const owner = ctx.view.routes()?.findOwner(head.key ?? "");
    return owner?.workspace === workspace ? undefined : new CallError("key-unknown", "the key was withdrawn");
}

/**
 * Checks whether a call's content, or a part of its prompt, is quarantined.
 *
 * @returns Why the call must not be sent; undefined when it may.
 */
export function checkQuarantine(ctx: CallContext, call: PreparedCall): CallError | undefined {
    const { fingerprint } = call;
    const remainingMs = ctx.crashes.quarantineLeftMs(fingerprint);
    if (remainingMs !== undefined) {
        const detail = `requests with this content crash upstreams; it is quarantined as ${fingerprint}`;
        return new CallError("quarantined", detail, remainingMs);
    }
    const quarantine = ctx.parts.findQuarantine(call);
    if (!quarantine) return undefined;
    const detail = `prompts with the part ${quarantine.part} crash upstreams; it is quarantined`;
    return new CallError("quarantined", detail, quarantine.leftMs);
}

function findRoute(ctx: CallContext, routes: RouteTable, req: HttpRequest): Either<CallError, Route> {
    const route = routes.findRoute(findHeader(req.headers, "host") ?? "", req.path);
    if (route) return Right(route);
    // A recently added route may not have been received yet: only a fresh document shows that there is none.
    return Left(
        ctx.view.isFresh() ? new CallError("no-route", "no route has this host and path") : staleViewError(ctx),
    );
}

function identifyCaller(
    ctx: CallContext,
    routes: RouteTable,
    route: Route,
    { key }: CallHead,
): Either<CallError, Caller> {
    if (route.keyless || !routes.requiresKeys) {
        return Right({ workspace: undefined, tier: routes.ranks.find(route.tier) });
    }
    if (!ctx.view.isFresh()) return Left(staleViewError(ctx));
    if (key === undefined) return Left(new CallError("key-missing", "this route needs a key"));
    const owner = routes.findOwner(key);
    if (!owner) return Left(new CallError("key-unknown", "the key is unknown or was withdrawn"));
    return Right({ workspace: owner.workspace, tier: routes.ranks.find(route.tier, owner.tier) });
}

function staleViewError(
    { random }: CallContext,
    detail = "this entry has lost touch with the control processes",
): CallError {
    return new CallError("no-view", detail, STALE_VIEW_RETRY_MS + random.between(0, STALE_VIEW_JITTER_MS));
}

function requestTarget({ method, path, headers }: HttpRequest): { method: string; path: string; host: string; } {
    return { method, path, host: findHeader(headers, "host") ?? "" };
}

function headerSizeBytes({ headers }: HttpRequest): number {
    return headers.reduce((sum, [name, value]) => sum + name.length + value.length + ": \r\n".length, 0);
}

const BODY_ERROR_KINDS: Readonly<Record<BodyError["reason"], CallErrorKind>> = {
    "too-large": "too-large",
    "timeout": "body-timeout",
    "closed": "body-timeout",
    "over-capacity": "over-capacity",
};

function toCallError({ random }: CallContext, { reason }: BodyError): CallError {
    const retryAfterMs = reason === "over-capacity"
        ? NO_ROOM_RETRY_MS + random.between(0, NO_ROOM_JITTER_MS)
        : undefined;
    return new CallError(BODY_ERROR_KINDS[reason], `the body could not be read: ${reason}`, retryAfterMs);
}
