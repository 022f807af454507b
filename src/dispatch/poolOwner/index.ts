import { createHash } from "node:crypto";
import { HostId, PoolId } from "../../ids/index.js";

/**
 * Puts hosts into the order in which they own a pool's queue: the first owns it, the second would without that one, and so on, by the
 * hash of (pool, region, host), the highest first. When a host is lost, only the pools that it owned move.
 *
 * @param pool - The pool.
 * @param region - Where its upstreams are: each region has a queue of its own.
 * @param hosts - The live hosts that may own it, in any order.
 * @returns All of them.
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
 * Remembers the owners for one list of hosts: the order costs a hash for each host, and is asked for with each ticket and
 * each announcement.
 *
 * @example
 * const [owner, next] = table.rank("draft" as PoolId, directory.queueHosts());
 */
export class PoolOwnerTable {
    private hosts: readonly HostId[] = [];
    private readonly ranked = new Map<PoolId, readonly HostId[]>();

    /** @param region - As `rankPoolOwners`. */
    constructor(private readonly region: string) {}

    /**
     * As `rankPoolOwners`.
     *
     * @param hosts - The live hosts; what is remembered holds for as long as it is the same list.
     */
    rank(pool: PoolId, hosts: readonly HostId[]): readonly HostId[] {
        if (hosts !== this.hosts) {
            this.hosts = hosts;
            this.ranked.clear();
        }
        const known = this.ranked.get(pool);
        if (known) return known;
        const ranked = rankPoolOwners(pool, this.region, hosts);
        this.ranked.set(pool, ranked);
        return ranked;
    }
}
