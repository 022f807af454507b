import { CallKind } from "../../routing/index.js";

/** The end of an attempt at one upstream that brought no final answer. */
export type AttemptEnd =
    /** No byte can have been sent. */
    | "not-sent"
    /** The upstream states that it has not run the call. */
    | "refused"
    /** It may have run, and there is no usable answer. */
    | "lost"
    /** The upstream ran it and answered with a failure. */
    | "failed"
    /** A stream broke off after events that the caller has received. */
    | "broken";

/** State of a call after an attempt has ended. */
export interface AttemptSummary {
    readonly end: AttemptEnd;
    readonly kind: CallKind;
    readonly resumable: boolean;
    /** Whether it is known which software must continue the stream; true for one that has not begun. */
    readonly isSoftwareKnown: boolean;
    /** Number of upstreams that have, or may have, begun to work on the call. */
    readonly begun: number;
    /** Maximum number of upstreams that may begin to work on it. */
    readonly attempts: number;
    /** Number of times the call was sent or could not be sent, including this attempt. */
    readonly tries: number;
    /** Whether the call has left a sound upstream, so that only its time limits end it. */
    readonly mayWait: boolean;
    /** Takes one repeat from the budget; called only when nothing else prevents the repeat. */
    readonly tryTakeRepeat: () => boolean;
}

/** `again`: try another upstream. `later`: decide again after a pause. `give-up`: send the caller its final answer now. */
export type NextStep = "again" | "later" | "give-up";

/**
 * Maximum number of tries: a call that has reached no upstream by then will not reach one later, since its pool is
 * down.
 */
const MAX_TRIES = 5;

/**
 * Decides whether a call is sent to another upstream.
 *
 * Prevents running a call twice that may run at most once: such a call is sent again only if the last attempt cannot
 * have run it. A statement of the upstream counts as proof; a broken connection does not.
 *
 * @example
 * if (chooseNextStep(summary) === "give-up") return answer.sendError(err, request);
 */
export function chooseNextStep(summary: AttemptSummary): NextStep {
    const { end, tries, mayWait, tryTakeRepeat } = summary;
    if (!summary.isSoftwareKnown) return "give-up";
    if (tries >= MAX_TRIES && !mayWait) return "give-up";
    if (end === "not-sent") return "again";
    if (end !== "refused" && !mayRepeat(summary)) return "give-up";
    if (tryTakeRepeat()) return "again";
    return mayWait ? "later" : "give-up";
}

function mayRepeat({ end, kind, resumable, begun, attempts }: AttemptSummary): boolean {
    if (begun >= attempts) return false;
    if (kind === "once") return false;
    if (kind === "stream") return resumable;
    return end !== "broken";
}
