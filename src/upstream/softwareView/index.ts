import { PoolId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { UpstreamRegistry } from "../upstreamRegistry/index.js";

/** An upstream that a request is granted to, and the version of its software, where the deciding host is certain of it. */
export interface GrantedUpstream {
    readonly upstream: UpstreamId;
    readonly incarnation?: number;
    readonly software?: SoftwareVersion;
}

/**
 * The software versions of upstreams, as this process knows them.
 *
 * @example
 * const startedBy = view.find(grant);
 */
export class SoftwareView {
    constructor(private readonly registry: Pick<UpstreamRegistry, "get" | "list">) {}

    /**
     * Returns the version that a granted upstream runs: that of the grant, unless this process knows otherwise.
     *
     * @returns undefined if it is not certain, or if another incarnation has replaced the granted one.
     */
    find({ upstream, incarnation, software }: GrantedUpstream): SoftwareVersion | undefined {
        const known = this.registry.get(upstream);
        if (!known) return software;
        const granted = incarnation ?? known.announcement.incarnation;
        if (known.announcement.incarnation < granted) return software;
        const isConfirmed = known.announcement.incarnation === granted && known.software === software;
        return isConfirmed ? software : undefined;
    }

    /** Whether an upstream other than the given one runs a version and may get work. */
    hasOther(pool: PoolId, upstream: UpstreamId, software: SoftwareVersion): boolean {
        return this.registry.list(pool).some(other =>
            other.id !== upstream && other.isGrantable && other.software === software
        );
    }

    /** Whether the upstreams of a pool that announce themselves run several versions; an unknown one counts as another. */
    isMixed(pool: PoolId): boolean {
        const serving = this.registry.list(pool).filter(({ state }) => state === "ready" || state === "leaving");
        return new Set(serving.map(({ software }) => software)).size > 1;
    }
}
