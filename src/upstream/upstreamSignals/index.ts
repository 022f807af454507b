/** What an upstream states about itself in the head of an answer. */
export interface UpstreamSignals {
    /**
     * Requests per second that it accepts from all hosts together; undefined when it states no limit, NaN when the
     * limit is unreadable.
     */
    readonly requestLimit: number | undefined;
    /**
     * Time for which it accepts no further requests from this host, in milliseconds; undefined when it asks for no
     * back-off, NaN when the time is unreadable.
     */
    readonly backOffMs: number | undefined;
    /**
     * Requests that it can turn away within a second for want of room, from all hosts together: one more, and it ends. Undefined when it
     * states no such limit, NaN when the limit is unreadable.
     */
    readonly rejectionLimit: number | undefined;
    /** Whether this incarnation of it is about to end. */
    readonly isLeaving: boolean;
}

/** The signals of an answer that states nothing. */
export const NO_SIGNALS: UpstreamSignals = {
    requestLimit: undefined,
    backOffMs: undefined,
    rejectionLimit: undefined,
    isLeaving: false,
};
