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

/** The owner of a pool's queue, and who would own it without that one. */
export interface PoolOwners {
    readonly owner: HostId | undefined;
    readonly next: HostId | undefined;
}

/**
 * Remembers the owners for one list of hosts: the choice costs a hash for each host, and is asked for with each ticket and
 * each announcement.
 *
 * @example
 * const { owner, next } = table.find("draft" as PoolId, directory.candidates());
 */
export class PoolOwnerTable {
    private hosts: readonly HostId[] = [];
    private readonly owners = new Map<PoolId, PoolOwners>();

    /** @param region - As `choosePoolOwner`. */
    constructor(private readonly region: string) {}

    /**
     * Finds the owners of a pool.
     *
     * @param hosts - The live entries; what is remembered holds for as long as it is the same list.
     */
    find(pool: PoolId, hosts: readonly HostId[]): PoolOwners {
        if (hosts !== this.hosts) {
            this.hosts = hosts;
            this.owners.clear();
        }
        const known = this.owners.get(pool);
        if (known) return known;
        const owner = choosePoolOwner(pool, this.region, hosts);
        const owners = { owner, next: choosePoolOwner(pool, this.region, hosts.filter(host => host !== owner)) };
        this.owners.set(pool, owners);
        return owners;
    }
}
