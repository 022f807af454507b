import { createHash } from "node:crypto";
import { HostId, PoolId } from "../../ids/index.js";

/**
 * Ranks hosts as owners of a pool's queue: the first owns it, the second takes over without the first, and so on. The
 * order is that of the hash of (pool, region, host), the highest first. When a host is lost, only the pools that it
 * owned move.
 *
 * @param pool - The pool.
 * @param region - The region of its upstreams: each region has its own queue.
 * @param hosts - The live hosts that may own it, in any order.
 * @returns All hosts, in the order of ownership.
 * @example
 * const [owner, next] = rankPoolOwners("draft" as PoolId, "sudurnes", hosts);
 */
export function rankPoolOwners(pool: PoolId, region: string, hosts: readonly HostId[]): HostId[] {
    const hashed = hosts.map(host => {
        const hash = createHash("sha1").update(`${pool}\n${region}\n${host}`).digest("hex");
        return { host, hash };
    });
    hashed.sort((a, b) => a.hash > b.hash || (a.hash === b.hash && a.host < b.host) ? -1 : 1);
    return hashed.map(({ host }) => host);
}

/**
 * Caches the ranking for one list of hosts: it takes a hash per host, and is needed for each ticket and each
 * announcement.
 *
 * @example
 * const [owner, next] = table.rank("draft" as PoolId, directory.queueHosts());
 */
export class PoolOwnerTable {
    private hosts: readonly HostId[] = [];
    private readonly ranked = new Map<PoolId, readonly HostId[]>();

    /** @param region - As for `rankPoolOwners`. */
    constructor(private readonly region: string) {}

    /**
     * Returns the result of `rankPoolOwners`.
     *
     * @param hosts - The live hosts; the cache is valid as long as this is the same array.
     */
    rank(pool: PoolId, hosts: readonly HostId[]): readonly HostId[] {
        if (hosts !== this.hosts) {
            this.hosts = hosts;
            this.ranked.clear();
        }
        const cached = this.ranked.get(pool);
        if (cached) return cached;
        const ranked = rankPoolOwners(pool, this.region, hosts);
        this.ranked.set(pool, ranked);
        return ranked;
    }
}
