import { findHeader, HttpReply } from "../../ports/index.js";
import { UpstreamSignals } from "../../upstream/index.js";
import { readRequestLimit } from "../readRequestLimit/index.js";
import { readRetryAfter } from "../readRetryAfter/index.js";

/** Names of the headers in which upstreams state something about themselves, in lower case. */
export interface SignalHeaderNames {
    readonly requestLimit: string;
    readonly leaving: string;
    readonly rejectionLimit: string;
}

/** Statuses with which an upstream turns a request away, so that `Retry-After` asks this host to back off. */
const TURNED_AWAY_STATUSES: readonly number[] = [429, 503];

/**
 * Reads what an upstream states about itself in the head of an answer, whatever the answer's status.
 *
 * @param reply - The answer.
 * @param names - Header names of the upstream's protocol.
 * @example
 * const { backOffMs, isLeaving } = readSignals(reply, names);
 */
export function readSignals(
    { status, headers }: Pick<HttpReply, "status" | "headers">,
    names: SignalHeaderNames,
): UpstreamSignals {
    const isTurnedAway = TURNED_AWAY_STATUSES.includes(status);
    return {
        requestLimit: readRequestLimit(findHeader(headers, names.requestLimit)),
        backOffMs: isTurnedAway ? readRetryAfter(findHeader(headers, "retry-after")) : undefined,
        rejectionLimit: readRequestLimit(findHeader(headers, names.rejectionLimit)),
        isLeaving: findHeader(headers, names.leaving)?.trim() === "1",
    };
}
