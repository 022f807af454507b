import { createHash } from "node:crypto";
import { Either, Left, Right } from "purify-ts";
import { IdempotencyKey, PoolId, RequestFingerprint } from "../../ids/index.js";
import { findHeader, HeaderList, HttpRequest } from "../../ports/index.js";
import { CALLER_PATHS, IDEMPOTENCY_HEADER } from "../../protocol/index.js";
import { fingerprintRequest } from "../../quarantine/index.js";
import { ClassView, WorkspaceView } from "../../workspace/index.js";
import { readBody } from "../_lib/readBody.js";
import { Admission, checkPool, chooseClass } from "../admitRequest/index.js";
import { CallerError } from "../callerError/index.js";
import { EntryContext } from "../entryContext/index.js";
import { refuseKeyInContent } from "../readKey/index.js";

/** Identifies a non-repeatable call, so that a resend of it is recognized. */
export interface CallIdentity {
    readonly key: IdempotencyKey;
    /** SHA-256 of method, path and body. */
    readonly digest: string;
}

/** A validated service call. */
export interface PreparedService {
    readonly workspace: WorkspaceView;
    readonly classView: ClassView;
    readonly pool: PoolId;
    readonly method: string;
    /** Path and query relative to the service's root. */
    readonly path: string;
    /** Headers to forward; no other header of the caller is forwarded. */
    readonly headers: HeaderList;
    readonly body: Uint8Array;
    /** Identifies the call by its content. */
    readonly fingerprint: RequestFingerprint;
    /** Set for a call that must not run twice. */
    readonly call?: CallIdentity;
}

/** Methods that HTTP defines as safe, which a service may run any number of times. */
const SAFE_METHODS: readonly string[] = ["GET", "HEAD", "OPTIONS"];
const METHODS: readonly string[] = [...SAFE_METHODS, "POST", "PUT", "PATCH", "DELETE"];
const FORWARDED_HEADERS: readonly string[] = ["content-type", "accept", "accept-language"];
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Reads and validates a service call: `/v1/services/<name>/<path>`. */
export async function prepareService(
    ctx: EntryContext,
    req: HttpRequest,
    { key, workspace }: Admission,
): Promise<Either<CallerError, PreparedService>> {
    const [, name, rest] = /^([^/?]+)(.*)$/.exec(req.path.slice(CALLER_PATHS.services.length)) ?? [];
    if (!name) return Left(new CallerError(404, "not-found", `call ${CALLER_PATHS.services}<name>/<path>`));
    if (!METHODS.includes(req.method)) return Left(new CallerError(405, "method-unknown", "this method is not served"));
    const pool = decodeName(name) as PoolId;
    const path = rest.startsWith("/") ? rest : `/${rest}`;
    const body = await readBody(req, ctx.limits.bodyBytes);
    return body.chain(bytes =>
        checkContent(bytes, key)
            .chain(() => checkPool(workspace, pool))
            .chain(() => chooseClass(req, workspace, undefined))
            .chain(classView =>
                identifyCall(req, workspace, pool, path, bytes).map(call => ({
                    workspace,
                    classView,
                    pool,
                    method: req.method,
                    path,
                    headers: req.headers.filter(([header]) => FORWARDED_HEADERS.includes(header)),
                    body: bytes,
                    fingerprint: fingerprintRequest({
                        method: req.method,
                        host: pool,
                        path,
                        workspace: workspace.id,
                        body: bytes,
                    }),
                    call,
                }))
            )
    );
}

function decodeName(name: string): string {
    try {
        return decodeURIComponent(name);
    }
    catch {
        return name;
    }
}

/** Searches for the key in the body as sent and, for JSON, also with the strings unescaped. */
function checkContent(bytes: Uint8Array, key: Admission["key"]): Either<CallerError, string> {
    const text = Buffer.from(bytes).toString("latin1");
    return refuseKeyInContent(text, key).chain(() => refuseKeyInContent(normalizeJson(text), key));
}

function normalizeJson(text: string): string {
    try {
        return JSON.stringify(JSON.parse(text));
    }
    catch {
        return "";
    }
}

function identifyCall(
    req: HttpRequest,
    workspace: WorkspaceView,
    pool: PoolId,
    path: string,
    body: Uint8Array,
): Either<CallerError, CallIdentity | undefined> {
    if (!workspace.nonRepeatable.includes(pool) || SAFE_METHODS.includes(req.method)) return Right(undefined);
    const key = findHeader(req.headers, IDEMPOTENCY_HEADER);
    if (key === undefined || !IDEMPOTENCY_KEY_PATTERN.test(key)) {
        const message = `calls of ${pool} need an Idempotency-Key header of 1 to 200 printable characters`;
        return Left(new CallerError(400, "idempotency-key-missing", message));
    }
    const digest = createHash("sha256").update(`${req.method} ${pool} ${path}\n`).update(body).digest("hex");
    return Right({ key: key as IdempotencyKey, digest });
}
