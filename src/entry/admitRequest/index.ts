import { Either, Left, Right } from "purify-ts";
import { PoolId } from "../../ids/index.js";
import { findHeader, HttpRequest } from "../../ports/index.js";
import { CLASS_HEADER } from "../../protocol/index.js";
import { ClassView, WorkspaceView } from "../../workspace/index.js";
import { CallerError } from "../callerError/index.js";
import { EntryContext } from "../entryContext/index.js";
import { PresentedKey, readKey } from "../readKey/index.js";

/** An authenticated caller: its key and the workspace of the key. */
export interface Admission {
    readonly key: PresentedKey;
    readonly workspace: WorkspaceView;
}

const RETRY_AFTER_MS = 1_000;
const OTHER_HOST_RETRY_AFTER_MS = 500;

/**
 * Admits a request by its key, unless this host is draining, out of date or at capacity. The workspace is determined by the key alone.
 *
 * Prevents use of withdrawn keys: an entry that is cut off from the control processes does not learn of withdrawals, so
 * once its freshness lease has expired it refuses all new work until it has a fresh view.
 */
export function admitRequest(ctx: EntryContext, req: HttpRequest): Either<CallerError, Admission> {
    return readKey(req).chain(key => {
        if (ctx.isRefusing()) return Left(makeStoppingError());
        if (!ctx.control.isFresh()) {
            return Left(
                unavailable("stale-view", "this host has lost touch with the control processes", RETRY_AFTER_MS),
            );
        }
        if (ctx.requests.size >= ctx.limits.requests) {
            return Left(unavailable("over-capacity", "too many requests are under way on this host", RETRY_AFTER_MS));
        }
        const workspace = ctx.control.findWorkspace(key.hash);
        if (!workspace) return Left(new CallerError(401, "key-unknown", "the key is unknown or was withdrawn"));
        return Right({ key, workspace });
    });
}

/**
 * Chooses the service class: the one that the caller names, else the workspace's default.
 *
 * @param named - Class named in the body; the header takes precedence.
 */
export function chooseClass(
    req: HttpRequest,
    workspace: WorkspaceView,
    named: string | undefined,
): Either<CallerError, ClassView> {
    const name = findHeader(req.headers, CLASS_HEADER) ?? named ?? workspace.defaultClass;
    const found = workspace.classes.find(view => view.name === name);
    if (found) return Right(found);
    const known = workspace.classes.map(view => view.name).join(", ");
    return Left(new CallerError(400, "class-unknown", `the workspace has the classes ${known}`));
}

/** Refuses a model or service that the workspace may not use. */
export function checkPool(workspace: WorkspaceView, pool: PoolId): Either<CallerError, PoolId> {
    if (workspace.pools.length === 0 || workspace.pools.includes(pool)) return Right(pool);
    return Left(new CallerError(404, "pool-unknown", `the workspace has no model or service ${pool.slice(0, 128)}`));
}

/** Creates the error of a request that this host does not run, because it is stopping. */
export function makeStoppingError(): CallerError {
    return unavailable("draining", "this host is stopping", OTHER_HOST_RETRY_AFTER_MS);
}

function unavailable(type: string, message: string, retryAfterMs: number): CallerError {
    return new CallerError(503, type, message, "not-run", retryAfterMs);
}
