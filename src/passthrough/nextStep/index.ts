import { CallKind } from "../../routing/index.js";

/** How an attempt at one upstream ended without a final answer. */
export type AttemptEnd =
    /** No byte can have left. */
    | "not-sent"
    /** The upstream says that it has not run the call. */
    | "refused"
    /** It may have run, and there is no answer that can be used. */
    | "lost"
    /** The upstream ran it and answered with a failure. */
    | "failed"
    /** A stream broke off after events that the caller has. */
    | "broken";

/** What is known when an attempt has ended. */
export interface AttemptReview {
    readonly end: AttemptEnd;
    readonly kind: CallKind;
    readonly resumable: boolean;
    /** How many upstreams have, or may have, begun to work on the call. */
    readonly begun: number;
    /** How many may. */
    readonly attempts: number;
    /** How many times the call was sent or tried to be sent, this one counted. */
    readonly tries: number;
    /** Takes leave of the budget for a repeat; asked only where nothing else speaks against it. */
    readonly takeRepeat: () => boolean;
}

/** `again`: at another upstream. `give-up`: the caller gets its final answer now. */
export type NextStep = "again" | "give-up";

/** A call that finds no upstream in so many tries will not in the next ones: its pool is down. */
const MOST_TRIES = 5;

/**
 * Decides whether a call goes to another upstream.
 *
 * Guards against an order that runs twice: a call that runs once at most is sent again only where the last attempt can't have run. An
 * upstream's own word counts as such; a broken connection does not.
 *
 * @example
 * if (chooseNextStep(review) === "give-up") return answer.fail(err);
 */
export function chooseNextStep(review: AttemptReview): NextStep {
    const { end, tries, takeRepeat } = review;
    if (tries >= MOST_TRIES) return "give-up";
    if (end === "not-sent") return "again";
    if (end !== "refused" && !mayRepeat(review)) return "give-up";
    return takeRepeat() ? "again" : "give-up";
}

function mayRepeat({ end, kind, resumable, begun, attempts }: AttemptReview): boolean {
    if (begun >= attempts) return false;
    if (kind === "once") return false;
    if (kind === "stream") return resumable;
    return end !== "broken";
}
