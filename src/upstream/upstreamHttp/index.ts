import { Either } from "purify-ts";
import { HostId, PoolId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { Address, Http, HttpCall, HttpError, HttpReply } from "../../ports/index.js";

/** The upstream that a request is meant for. */
export interface UpstreamTarget {
    readonly pool: PoolId;
    readonly upstream: UpstreamId;
    /** The run of the upstream; undefined where the sender does not know it. */
    readonly incarnation?: number;
    /** Version of the software that must run the request; undefined: any. */
    readonly software?: SoftwareVersion;
    readonly address: Address;
}

/** A request to an upstream. */
export interface UpstreamCall extends Omit<HttpCall, "address" | "onConnection"> {
    readonly target: UpstreamTarget;
    /** Name of the header, in lower case, whose value is the remaining time in milliseconds; undefined where there is none. */
    readonly deadlineHeader?: string;
    /** Called when the request is handed to another host that sends it on. */
    readonly onRelay?: (relay: HostId) => void;
}

/** The response of an upstream. */
export interface UpstreamReply extends HttpReply {
    /** The host that sent the request on behalf of this one; undefined where this host sent it. */
    readonly relay?: HostId;
}

/**
 * A request failed on its way, and this says nothing about the upstream: this host's own paths are lost, or the host that relayed the
 * request is.
 */
export class PathError extends HttpError {
    /** @param leftMs - Time after which the way may be open again, in milliseconds, where that is known. */
    constructor(
        reason: HttpError["reason"],
        mayHaveBeenSent: boolean,
        detail: string,
        readonly leftMs?: number,
    ) {
        super(reason, mayHaveBeenSent, detail);
    }
}

/**
 * What is known of the way to an upstream: this host reaches it; only other hosts do; nobody listens at its address; or nobody reaches it,
 * as far as could be found out.
 */
export type PathFinding = "open" | "cut-off" | "crashed" | "unreachable";

/**
 * Why a request got no complete response: this host's own path was lost, which says nothing about the upstream; the upstream failed it; or
 * the upstream may have ended, since the connection did and nobody was found listening at its address.
 */
export type FailureCause = "path" | "upstream" | "upstream-ended";

/** A request that may have been sent, and got no complete response. */
export interface SentFailure {
    /** Monotonic time at which it was sent, in milliseconds. */
    readonly sentAt: number;
    /** Whether its connection was closed or reset by the other side. */
    readonly connectionEnded: boolean;
}

/**
 * Sends requests to upstreams, whatever the way: each request of this system to an upstream goes through it.
 *
 * @example
 * const sent = await upstreamHttp.send({ target, method: "GET", path: "/orders/1", ...rest });
 */
export abstract class UpstreamHttp {
    /** Sends a request; resolves once the response's headers have arrived. */
    abstract send(call: UpstreamCall): Promise<Either<HttpError, UpstreamReply>>;

    /** Determines who reaches an upstream, by connections on which nothing is sent. */
    abstract probe(target: UpstreamTarget): Promise<PathFinding>;

    /**
     * Whether this host's own path to an upstream was lost at some time: what a request took meanwhile says nothing about the upstream.
     *
     * @param since - Start of the time, in milliseconds on the monotonic clock.
     */
    abstract hadLostPath(target: UpstreamTarget, since: number): boolean;

    /** Determines why a request that this host sent itself got no complete response. */
    abstract findFailureCause(target: UpstreamTarget, failure: SentFailure): Promise<FailureCause>;
}

/** Sends each request directly, from a host that has no peers. */
export class DirectUpstreamHttp extends UpstreamHttp {
    constructor(private readonly http: Http) {
        super();
    }

    send({ target, ...call }: UpstreamCall): Promise<Either<HttpError, UpstreamReply>> {
        return this.http.send({ ...call, address: target.address });
    }

    probe(): Promise<PathFinding> {
        return Promise.resolve("unreachable");
    }

    hadLostPath(): boolean {
        return false;
    }

    findFailureCause(_target: UpstreamTarget, { connectionEnded }: SentFailure): Promise<FailureCause> {
        return Promise.resolve(connectionEnded ? "upstream-ended" : "upstream");
    }
}
