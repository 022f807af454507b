import { domainToASCII } from "node:url";
import { PoolId, WorkspaceId } from "../../ids/index.js";
import { decodeHeaderText, Random } from "../../ports/index.js";
import { CallRanks } from "../callRanks/index.js";
import { CallerLimits, FleetDocument, PoolSpec, Route } from "../fleetDocument/index.js";
import { RouteMatcher } from "../routeMatcher/index.js";

const ASCII_PATTERN = /^[\x00-\x7f]*$/;

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
    private readonly routesByHost = new Map<string, RouteMatcher[]>();
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
            list.sort((a, b) => b.length - a.length);
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
        const matchers = this.routesByHost.get(toHostKey(stripPort(decodeHeaderText(host))));
        const pathname = path.split("?", 1)[0];
        return matchers?.find(matcher => matcher.matches(pathname))?.route;
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
        const host = toHostKey(route.host);
        const known = this.routesByHost.get(host);
        const matcher = new RouteMatcher(route);
        if (known) known.push(matcher);
        else this.routesByHost.set(host, [matcher]);
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

/** Returns the form of a host name by which names are compared: in lower case, and in ASCII as most callers send it. */
function toHostKey(host: string): string {
    const key = host.toLowerCase();
    return ASCII_PATTERN.test(key) ? key : domainToASCII(key) || key;
}

function stripPort(host: string): string {
    const colon = host.lastIndexOf(":");
    return colon < 0 || host.endsWith("]") ? host : host.slice(0, colon);
}
