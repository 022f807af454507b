import { Either, Left, Right } from "purify-ts";
import { Grant, toTarget } from "../../dispatch/index.js";
import { judgeReply, promisesNotRun } from "../../execution/index.js";
import { ByteBuffer, discardReply, findHeader, findHeaders, HttpError, HttpReply } from "../../ports/index.js";
import { REQUEST_ID_HEADER } from "../../protocol/index.js";
import { RunningRequest } from "../../request/index.js";
import { PathError } from "../../upstream/index.js";
import { EntryContext } from "../entryContext/index.js";
import { PreparedService } from "../prepareService/index.js";
import { reportSignals } from "../reportSignals/index.js";

/** A service call that did not get a complete answer. */
export class ServiceCallError extends Error {
    /**
     * @param mayHaveRun - False only when no byte of the call can have been sent.
     * @param connectionEnded - Whether the service closed or reset the connection while it was handling the call.
     * @param isPathFailure - Whether the way to the service failed, which says nothing about the service.
     * @param isTurnedAway - Whether the service asked this host to back off.
     */
    constructor(
        readonly mayHaveRun: boolean,
        detail: string,
        readonly connectionEnded = false,
        readonly isPathFailure = false,
        readonly isTurnedAway = false,
    ) {
        super(detail);
    }
}

/** A service's complete answer. */
export interface ServiceAnswer {
    readonly status: number;
    readonly contentType: string;
    readonly body: Uint8Array;
    /** Whether the service turned the call away and asked this host to back off. */
    readonly isTurnedAway?: boolean;
}

/**
 * Sends a call to the granted service and reads its complete answer.
 *
 * On a pooled connection that has become unresponsive, it is unknown whether a call arrived, so a non-repeatable call uses a
 * connection of its own. To detect answers to other requests, an answer must name this call, and no other; one that names none is taken only
 * on a connection that was opened for the call.
 *
 * @param onRelay - Called when the call is handed to another host that sends it on.
 */
export async function sendService(
    ctx: EntryContext,
    prepared: PreparedService,
    run: RunningRequest,
    grant: Grant,
    onRelay: () => void,
): Promise<Either<ServiceCallError, ServiceAnswer>> {
    const { limits } = ctx;
    const sent = await ctx.upstreamHttp.send({
        target: toTarget(prepared.pool, grant),
        method: prepared.method,
        path: prepared.path,
        id: run.identity.id,
        headers: [
            ...prepared.headers,
            [REQUEST_ID_HEADER, run.identity.id],
            ["content-length", String(prepared.body.length)],
        ],
        body: prepared.body,
        newConnection: prepared.call !== undefined,
        connectTimeoutMs: limits.connectMs,
        headTimeoutMs: limits.serviceMs,
        signal: run.signal,
        onRelay,
    });
    if (sent.isLeft()) {
        const err = sent.extract();
        return Left(toServiceError(err, err.mayHaveBeenSent));
    }
    const isRelayed = sent.unsafeCoerce().relay !== undefined;
    const { backOffMs } = reportSignals(ctx, prepared.pool, grant, sent.unsafeCoerce(), isRelayed);
    const isTurnedAway = backOffMs !== undefined;
    const reply = sent.unsafeCoerce();
    if (promisesNotRun(reply.status)) return Left(withholdPromise(reply, isTurnedAway, ctx));
    const answer = await readAnswer(reply, run, limits.bodyBytes, limits.serviceMs, ctx);
    return answer.map(read => ({ ...read, isTurnedAway }));
}

/** Creates the error of an answer that would tell the caller that the call has not run, which a service does not state. */
function withholdPromise(reply: HttpReply, isTurnedAway: boolean, { clock }: EntryContext): ServiceCallError {
    void discardReply(reply, clock);
    return new ServiceCallError(true, `the service answers ${reply.status}`, false, false, isTurnedAway);
}

function toServiceError(err: HttpError, mayHaveRun: boolean): ServiceCallError {
    const isPathFailure = err instanceof PathError;
    const connectionEnded = err.reason === "closed" && !isPathFailure;
    return new ServiceCallError(mayHaveRun, err.message, connectionEnded, isPathFailure);
}

async function readAnswer(
    reply: HttpReply,
    run: RunningRequest,
    limitBytes: number,
    limitMs: number,
    { clock }: EntryContext,
): Promise<Either<ServiceCallError, ServiceAnswer>> {
    const { status, connection } = reply;
    const requests = findHeaders(reply.headers, REQUEST_ID_HEADER);
    const { isOwn, owner } = judgeReply(run.identity.id, { status, requests, statesNotRun: false, connection });
    if (!isOwn) {
        reply.reset();
        return Left(new ServiceCallError(true, `the answer names ${owner}`));
    }
    const limit = clock.after(limitMs, () => reply.reset());
    const body = await readWhole(reply, limitBytes);
    limit.cancel();
    return body.map(bytes => ({
        status: reply.status,
        contentType: findHeader(reply.headers, "content-type") ?? "application/octet-stream",
        body: bytes,
    }));
}

async function readWhole(reply: HttpReply, limitBytes: number): Promise<Either<ServiceCallError, Uint8Array>> {
    const body = new ByteBuffer();
    try {
        for await (const chunk of reply.body) {
            body.append(chunk);
            if (body.length > limitBytes) {
                reply.reset();
                return Left(new ServiceCallError(true, `the answer has more than ${limitBytes} bytes`));
            }
        }
    }
    catch (err) {
        return Left(toServiceError(err as HttpError, true));
    }
    return Right(body.take());
}
