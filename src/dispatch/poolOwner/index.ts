import { createHash } from "node:crypto";
import { HostId, PoolId } from "../../ids/index.js";

/**
 * Names the entry that owns a pool's queue: the live host with the highest hash of (pool, region, host). When a host
 * is lost, only the pools that it owned move.
 *
 * @param pool - The pool.
 * @param region - Where its upstreams are: each region has a queue of its own.
 * @param hosts - The live entries, in any order.
 * @returns The owner; undefined when there are no hosts.
 * @example
 * choosePoolOwner("draft" as PoolId, "sudurnes", hosts);
 */
export function choosePoolOwner(pool: PoolId, region: string, hosts: readonly HostId[]): HostId | undefined {
    let owner: HostId | undefined;
    let highest = "";
    for (const host of hosts) {
        const hash = createHash("sha1").update(`${pool}\n${region}\n${host}`).digest("hex");
        if (owner !== undefined && (hash < highest || (hash === highest && host > owner))) continue;
        owner = host;
        highest = hash;
    }
    return owner;
}
