import { ConnectionUse, HeaderList, HttpError } from "../../ports/index.js";

/** Path at which hosts accept requests to relay. */
export const RELAY_PATH = "/sequoiamux/relay";
export const RELAY_METHOD = "POST";
/** Header with the id of a request to a relay, which each answer of the relay repeats. */
export const RELAY_EXCHANGE_HEADER = "x-sequoiamux-relay-exchange";

/** The upstream of a relayed request. */
export interface RelayTarget {
    readonly pool: string;
    readonly upstream: string;
    readonly incarnation: number;
    /** Version of the software that must run the request; undefined: any. */
    readonly software?: string;
    /** `IP:port`. */
    readonly address: string;
}

/** The first frame of a request to a relay. The bytes after it are the body. */
export type RelayRequest =
    | {
        readonly kind: "call";
        /** Name of the host that asks. */
        readonly origin: string;
        readonly target: RelayTarget;
        readonly method: string;
        readonly path: string;
        /** The id that the upstream's answer repeats, where it has one. */
        readonly id?: string;
        readonly headers: HeaderList;
        /** Whether the request has a body, even an empty one. */
        readonly hasBody: boolean;
        readonly newConnection: boolean;
        readonly recentlyUsedOnly: boolean;
        /** Timeout for the response's headers, in milliseconds. */
        readonly headTimeoutMs: number;
    }
    /** Asks whether the relay reaches the upstream. */
    | { readonly kind: "probe"; readonly origin: string; readonly target: RelayTarget; };

/** What a relay found out about the way to an upstream. */
export type RelayFinding = "reached" | "refused" | "unreachable" | "unknown";

/**
 * Why a relay has not sent a request: its own paths are lost; it could not connect to the upstream; the upstream may get no requests from it;
 * it knows no such upstream; it is about to stop; it carries as many requests or bytes as it may.
 */
export type RelayRefusalReason = "cut-off" | "unreachable" | "blocked" | "unknown-upstream" | "draining" | "full";

/** The first frame of a relay's answer. After `reply` follow the upstream's body and a frame that says whether it is complete. */
export type RelayAnswer =
    | {
        readonly kind: "reply";
        readonly status: number;
        readonly headers: HeaderList;
        /** The use of the relay's connection to the upstream. */
        readonly connection?: ConnectionUse;
    }
    | {
        readonly kind: "not-sent";
        readonly reason: RelayRefusalReason;
        readonly detail: string;
        /** Time after which the relay may send it, in milliseconds, where that is known. */
        readonly leftMs?: number;
    }
    /** The request may have been sent, and there is no answer. */
    | { readonly kind: "lost"; readonly reason: HttpError["reason"]; readonly detail: string; }
    | { readonly kind: "probed"; readonly finding: RelayFinding; };

/** The payload of a frame that says why a body is not complete. */
export interface BrokenBody {
    readonly reason: HttpError["reason"];
    readonly detail: string;
}
