import { PoolId, RequestId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { GrantedUpstream, UpstreamSignals } from "../../upstream/index.js";

/** What an answer of an upstream states about the upstream itself. */
export interface AnswerSignals {
    readonly pool: PoolId;
    readonly upstream: UpstreamId;
    /** The incarnation that the request was granted for; undefined where the grant names none. */
    readonly incarnation?: number;
    /** The request that was answered; undefined for a query of this system's own. */
    readonly request: RequestId | undefined;
    readonly signals: UpstreamSignals;
}

/** Why nothing may be sent to an upstream now. */
export interface SendBlock {
    readonly reason: "leaving" | "zone-evacuated" | "backing-off" | "other-software";
    /** Time until it ends, in milliseconds; undefined where that is unknown. */
    readonly leftMs?: number;
    /** Time since this host was told, in milliseconds, where that is known. */
    readonly ageMs?: number;
}

/**
 * Checks grants right before they are used. A grant is as old as its way from the queue's owner, and the owner may know
 * less than this host: it may have just taken over the queue, or be cut off from others.
 *
 * @example
 * const block = guard.findBlock(grant);
 * if (block) return declineGrant(task, grant, block);
 */
export abstract class SendGuard {
    /** Records what an answer states; to be called for each answer of an upstream, whatever its status. */
    abstract recordAnswer(answer: AnswerSignals): void;

    /**
     * Returns why a grant must not be used; undefined if it may be.
     *
     * @param software - Version of the software that must run the request; undefined: any.
     */
    abstract findBlock(grant: GrantedUpstream, software?: SoftwareVersion): SendBlock | undefined;
}

/** A guard that lets every grant be used, for tests. */
export class NoSendGuard extends SendGuard {
    recordAnswer(): void {}

    findBlock(): undefined {
        return undefined;
    }
}
