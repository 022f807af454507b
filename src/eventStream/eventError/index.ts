/**
 * What is wrong with a block of a stream. `malformed`: it is not an event. `no-id`, `bad-id`: it has no id, or one that is no number.
 * `repeated`, `skipped`: its id does not follow that of the event before it. `mixed`: some events of the stream have ids, others have none.
 * `partial`: the stream ends within it. `unproven`: the stream ends before an event proves that none is missing. `no-room`: it may be sound, and
 * this process holds as much of other answers as it may.
 */
export type EventErrorKind =
    | "malformed"
    | "no-id"
    | "bad-id"
    | "repeated"
    | "skipped"
    | "mixed"
    | "partial"
    | "unproven"
    | "no-room";

/** The error for a block that is not the next event of its stream. */
export class EventError extends Error {
    constructor(readonly kind: EventErrorKind, detail: string) {
        super(detail);
    }
}
