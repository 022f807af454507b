/** What a caller has of a stream, over all upstreams that it came from. */
export interface StreamState {
    /** Whole events passed on. */
    count: number;
    /** The id of the last of them. */
    lastId: string | undefined;
    /** Whether the caller has the head of its answer. */
    hasHead: boolean;
    /** Milliseconds from the call's arrival to the first event; undefined before it. */
    firstEventMs: number | undefined;
    /** Monotonic times of the first and the last event, in milliseconds. */
    firstAt: number;
    lastAt: number;
    /** The longest pause between two events, in milliseconds. */
    longestGapMs: number;
}

/** A stream of which nothing has come yet. */
export function newStreamState(): StreamState {
    return {
        count: 0,
        lastId: undefined,
        hasHead: false,
        firstEventMs: undefined,
        firstAt: 0,
        lastAt: 0,
        longestGapMs: 0,
    };
}
