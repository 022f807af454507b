import { Refusal, RefusalReason } from "../../dispatch/index.js";
import { Outcome } from "../../protocol/index.js";
import { CallerError } from "../callerError/index.js";

const UNAVAILABLE = 503;
const TOO_MANY = 429;

const MESSAGES: Record<RefusalReason, string> = {
    "no-upstream": "no upstream serves this model or service at present",
    "over-capacity": "the class target can't be met at the present load",
    "shed": "the class target can't be met any more; higher tiers or earlier requests need the places",
    "wait-expired": "no upstream became free within the longest wait of the class",
    "over-limit": "the workspace has used up its limit for this window",
    "draining": "this host is stopping",
    "cancelled": "the request was cancelled",
};

/**
 * Converts a dispatcher's refusal to the error that the caller receives.
 *
 * @param outcome - "not-run" unless an earlier attempt may have run.
 */
export function toRefusalError(refusal: Refusal, outcome: Outcome): CallerError {
    const status = refusal.reason === "over-limit" ? TOO_MANY : UNAVAILABLE;
    return new CallerError(status, refusal.reason, MESSAGES[refusal.reason], outcome, refusal.retryAfterMs);
}
