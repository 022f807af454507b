import { Grant } from "../../dispatch/index.js";
import { PoolId } from "../../ids/index.js";
import { readSignals, SignalHeaderNames } from "../../passthrough/index.js";
import { HttpReply } from "../../ports/index.js";
import { LEAVING_HEADER, REJECTION_LIMIT_HEADER, REQUEST_LIMIT_HEADER } from "../../protocol/index.js";
import { UpstreamSignals } from "../../upstream/index.js";
import { EntryContext } from "../entryContext/index.js";

const HEADER_NAMES: SignalHeaderNames = {
    requestLimit: REQUEST_LIMIT_HEADER,
    leaving: LEAVING_HEADER,
    rejectionLimit: REJECTION_LIMIT_HEADER,
};

/** Reads what an answer in this system's own protocol states about its upstream. */
export function readNativeSignals(reply: HttpReply): UpstreamSignals {
    return readSignals(reply, HEADER_NAMES);
}

/**
 * Reads what an engine's or a service's answer states about it, and passes that to the send guard.
 *
 * @param isRelayed - Whether another host sent the request: that host is the one that is asked to back off.
 * @returns What the answer states.
 */
export function reportSignals(
    { sendGuard }: EntryContext,
    pool: PoolId,
    { upstream, incarnation, request }: Grant,
    reply: HttpReply,
    isRelayed: boolean,
): UpstreamSignals {
    const signals = readNativeSignals(reply);
    const own = isRelayed ? { ...signals, backOffMs: undefined } : signals;
    sendGuard.recordAnswer({ pool, upstream, incarnation, request, signals: own });
    return signals;
}
