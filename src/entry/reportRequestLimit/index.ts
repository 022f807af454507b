import { Grant } from "../../dispatch/index.js";
import { PoolId } from "../../ids/index.js";
import { readRequestLimit } from "../../passthrough/index.js";
import { findHeader, HttpReply } from "../../ports/index.js";
import { REQUEST_LIMIT_HEADER } from "../../protocol/index.js";
import { EntryContext } from "../entryContext/index.js";

/** Passes the request limit in the headers of an upstream's answer to the dispatcher. */
export function reportRequestLimit(
    { dispatcher, logger }: EntryContext,
    pool: PoolId,
    { upstream, request }: Grant,
    { headers }: HttpReply,
): void {
    const limit = readRequestLimit(findHeader(headers, REQUEST_LIMIT_HEADER));
    if (Number.isNaN(limit)) logger.warn("request-limit-unreadable", { upstream, request });
    else dispatcher.recordLimit(pool, upstream, limit);
}
