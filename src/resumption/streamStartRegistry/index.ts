import { RequestId, WorkspaceId } from "../../ids/index.js";
import { StreamStart } from "../streamStart/index.js";

/**
 * What is known of where a stream began: one place; none; several, since the caller has used the attempt's id more than once; or nothing
 * certain, since too few hosts could be asked.
 */
export type StreamStartLookup =
    | { readonly kind: "found"; readonly start: StreamStart; }
    | { readonly kind: "unknown" | "ambiguous" | "unconfirmed"; };

/** Remembers where the streams of all hosts began, beyond the loss of hosts and of all power. */
export abstract class StreamStartRegistry {
    /**
     * Records where a stream began. It is reported to other hosts together with the next usage that is counted, or by `report`.
     *
     * @returns Its position in the usage of this run: the record is durable once usage up to it is.
     */
    abstract record(start: StreamStart): number;

    /** Reports recorded starts now. */
    abstract report(): void;

    /** Finds out where the stream of an attempt began. */
    abstract find(workspace: WorkspaceId | undefined, attempt: RequestId): Promise<StreamStartLookup>;
}
