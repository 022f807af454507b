import { Grant } from "../../dispatch/index.js";
import { ReplyOwner } from "../../execution/index.js";
import { HostId, RequestId, SoftwareVersion } from "../../ids/index.js";
import { ConnectionUse, HeaderList } from "../../ports/index.js";
import { RunningRequest } from "../../request/index.js";
import { CallAnswer } from "../callAnswer/index.js";
import { AttemptEnd } from "../nextStep/index.js";
import { PreparedCall } from "../prepareCall/index.js";
import { StreamState } from "../streamState/index.js";

/** Watches an attempt for silence of its upstream. */
export abstract class SilenceWatch {
    /** Expects the first data of the answer. */
    abstract expectBeginning(): void;

    /** Expects more of an answer that has begun. */
    abstract expectMore(): void;

    /** Expects nothing, since this host or the caller is not ready for more. */
    abstract pause(): void;
}

/** What the head of an upstream's answer stated, for logs. */
export interface ReplyTrace {
    readonly status: number;
    readonly names: ReplyOwner;
    /** Whether it states that the upstream has not run the call. */
    readonly statesNotRun: boolean;
}

/** One attempt to run a call at one upstream. */
export interface Attempt {
    readonly call: PreparedCall;
    readonly grant: Grant;
    readonly run: RunningRequest;
    readonly answer: CallAnswer;
    /** The part of the stream that the caller has received so far. */
    readonly stream: StreamState;
    /** Version of the software that must run the call, since it began the stream; undefined: any. */
    readonly required: SoftwareVersion | undefined;
    /** Seeks another upstream while this one is silent. */
    readonly silence: SilenceWatch;
    /** Id of the call's ticket at the queue's owner. */
    readonly ticketId: RequestId;
    /** Tokens that one event of the stream stands for. */
    readonly tokensPerEvent: number;
    /** The host that sends the call on behalf of this one; undefined while this host sends it itself. */
    relay?: HostId;
    /** The use of the connection to the upstream; undefined where none was opened, or it is not known. */
    connection?: ConnectionUse;
    /** Undefined while there is no answer. */
    reply?: ReplyTrace;
}

/** A complete answer of an upstream. */
export interface BufferedAnswer {
    readonly status: number;
    /** The headers for the caller, with the length. */
    readonly headers: HeaderList;
    readonly body: Uint8Array;
}

/** Result of an attempt. */
export type AttemptResult =
    /** The upstream's answer is complete. */
    | {
        readonly kind: "answered";
        readonly status: number;
        /** Sends the caller what it has not received yet: a whole answer, or the end of a stream. */
        readonly deliver: () => void;
    }
    | {
        readonly kind: "ended";
        readonly end: AttemptEnd;
        readonly detail: string;
        /** The upstream's failure answer, forwarded when no attempt succeeds. */
        readonly failure?: BufferedAnswer;
        /** Whether this host can't send the call to any upstream, which says nothing about them. */
        readonly isUnsendable?: boolean;
        /** Whether the upstream turned the call away and asked this host to back off. */
        readonly isTurnedAway?: boolean;
        /** Whether another upstream has the address. */
        readonly misdirected?: boolean;
        /** Whether the upstream closed or reset the connection during the attempt. */
        readonly connectionEnded?: boolean;
        /** Whether the answer itself proves that the upstream failed, whatever the way to it. */
        readonly isUpstreamFault?: boolean;
        /** Whether the attempt failed on its way, which says nothing about the upstream. */
        readonly isPathFailure?: boolean;
    };
