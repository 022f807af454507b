import { PoolId, WorkspaceId } from "../../ids/index.js";
import { Random } from "../../ports/index.js";
import { CallRanks } from "../callRanks/index.js";
import { CallerLimits, FleetDocument, PoolSpec, Route } from "../fleetDocument/index.js";

/** The workspace that a key belongs to. */
export interface KeyOwner {
    readonly workspace: WorkspaceId;
    /** Goes before the tier of the route. */
    readonly tier: number | undefined;
}

/**
 * Immutable index of a document for look-ups. A new document requires a new table.
 *
 * @example
 * const route = table.findRoute("shop.example", "/orders/1?x=2");
 */
export class RouteTable {
    readonly version: number;
    readonly limits: CallerLimits;
    /** Whether calls need keys; false if the document contains no workspaces. */
    readonly requiresKeys: boolean;
    /** Ranks of calls by urgency. */
    readonly ranks: CallRanks;
    private readonly routesByHost = new Map<string, Route[]>();
    private readonly owners = new Map<string, KeyOwner>();
    private readonly pools = new Map<PoolId, PoolSpec>();

    constructor(document: FleetDocument) {
        const { version, limits, routes, pools, workspaces } = document;
        this.version = version;
        this.limits = limits;
        this.requiresKeys = workspaces !== undefined;
        this.ranks = new CallRanks(document);
        for (const route of routes) this.addRoute(route);
        for (const list of this.routesByHost.values()) {
            list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
        for (const spec of pools) this.pools.set(spec.pool, spec);
        for (const { workspace, keys, tier } of workspaces ?? []) {
            for (const key of keys) this.owners.set(key, { workspace, tier });
        }
    }

    /**
     * Finds the route of a call: the host's route with the longest prefix that matches the path.
     *
     * @param host - The `Host` header, with or without a port.
     * @param path - Path and query, as sent.
     */
    findRoute(host: string, path: string): Route | undefined {
        const routes = this.routesByHost.get(stripPort(host).toLowerCase());
        const pathname = path.split("?", 1)[0];
        return routes?.find(({ pathPrefix }) => pathname.startsWith(pathPrefix));
    }

    /** Returns the owner of a key; undefined if the key is unknown. */
    findOwner(key: string): KeyOwner | undefined {
        return this.owners.get(key);
    }

    findPool(pool: PoolId): PoolSpec | undefined {
        return this.pools.get(pool);
    }

    listPools(): readonly PoolSpec[] {
        return [...this.pools.values()];
    }

    private addRoute(route: Route): void {
        const host = route.host.toLowerCase();
        const known = this.routesByHost.get(host);
        if (known) known.push(route);
        else this.routesByHost.set(host, [route]);
    }
}

/**
 * Picks a random pool for a call, by the weights of the route's targets.
 *
 * @example
 * const pool = pickTargetPool(route, random);
 */
export function pickTargetPool({ targets }: Route, random: Random): PoolId {
    if (targets.length === 1) return targets[0].pool;
    const sum = targets.reduce((total, { weight }) => total + weight, 0);
    let remaining = random.between(0, sum);
    for (const { pool, weight } of targets) {
        remaining -= weight;
        if (remaining < 0) return pool;
    }
    return targets.findLast(({ weight }) => weight > 0)!.pool;
}

function stripPort(host: string): string {
    const colon = host.lastIndexOf(":");
    return colon < 0 || host.endsWith("]") ? host : host.slice(0, colon);
}
