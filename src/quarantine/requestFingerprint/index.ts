import { createHash } from "node:crypto";
import { RequestFingerprint, WorkspaceId } from "../../ids/index.js";

/** Length in hex characters: 96 bits, so that collisions of different contents are practically impossible. */
const FINGERPRINT_CHARACTERS = 24;

/** The parts of a request that make two requests the same to the upstreams that run them. */
export interface RequestContent {
    readonly method: string;
    /** Authority of the request, in any letter case. */
    readonly host: string;
    /** Path and query, as sent. */
    readonly path: string;
    /** Undefined if the route needs no key. */
    readonly workspace: WorkspaceId | undefined;
    readonly body: Uint8Array;
}

/**
 * Identifies a request by its content. Unlike the caller's request id, which changes with each retry, the fingerprint
 * is the same whenever and wherever the request is sent again.
 *
 * @param content - The content sent to the upstream, and the workspace it is sent for.
 * @returns The same fingerprint for equal contents, on every host and in every version.
 * @example
 * const fingerprint = fingerprintRequest({ method: "POST", host: "shop.example", path: "/orders/7", workspace, body });
 */
export function fingerprintRequest({ method, host, path, workspace, body }: RequestContent): RequestFingerprint {
    // JSON separates the fields unambiguously: no two different lists have the same text.
    const head = JSON.stringify([method, host.toLowerCase(), path, workspace ?? ""]);
    const hash = createHash("sha256").update(`${head}\n`).update(body).digest("hex");
    return hash.slice(0, FINGERPRINT_CHARACTERS) as RequestFingerprint;
}
