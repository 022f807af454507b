import { EventId, SoftwareVersion } from "../../ids/index.js";

/** The part of a stream that the caller has received, from all upstreams together. */
export interface StreamState {
    /** Number of complete events sent to the caller. */
    eventCount: number;
    /** The id of the last event; undefined before it, and where events have no ids. */
    lastEventId: EventId | undefined;
    /** What each id adds to the one before; undefined while it is not proved. */
    idStep: number | undefined;
    /** Version of the software of the upstream that sent the first event; undefined before it, or where it is unknown. */
    startedBy: SoftwareVersion | undefined;
    /** Whether the head of the answer has been sent to the caller. */
    isHeadSent: boolean;
    /** Time from the call's arrival to the first event, in milliseconds; undefined before it. */
    firstEventMs: number | undefined;
    /** Monotonic times of the first and the last event, in milliseconds. */
    firstEventAt: number;
    lastEventAt: number;
    /** Longest pause between two events, in milliseconds. */
    longestGapMs: number;
    /** Position at which the call's start was counted; undefined before it. */
    startPosition: number | undefined;
}

/** Creates the state of a stream before its first event. */
export function createStreamState(): StreamState {
    return {
        eventCount: 0,
        lastEventId: undefined,
        idStep: undefined,
        startedBy: undefined,
        isHeadSent: false,
        firstEventMs: undefined,
        firstEventAt: 0,
        lastEventAt: 0,
        longestGapMs: 0,
        startPosition: undefined,
    };
}
