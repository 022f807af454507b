import { UpstreamId, ZoneId } from "../../ids/index.js";

/** Something that an upstream loads from the weight store: a model or an adapter. */
export interface Artifact {
    readonly name: string;
    readonly kind: "load_model" | "load_adapter";
    readonly bytes: number;
}

/** An upstream that could load something. */
export interface PrefetchTarget {
    readonly upstream: UpstreamId;
    readonly zone: ZoneId;
    /** Names of what it has loaded or is loading. */
    readonly loaded: readonly string[];
    readonly freeBytes: number;
}

/** How many upstreams will be wanted with an artifact. */
export interface ArtifactDemand {
    readonly artifact: Artifact;
    /** As forecast. */
    readonly copies: number;
    /** Requests a second that will ask for it: the busiest is loaded first. */
    readonly requestsPerSecond: number;
}

/** What a prefetch decision rests on. */
export interface PrefetchSnapshot {
    readonly demand: readonly ArtifactDemand[];
    readonly targets: readonly PrefetchTarget[];
    /** What the weight store gives until the next decision, in bytes. */
    readonly budgetBytes: number;
}

/** An order to an upstream to load something. */
export interface LoadOrder {
    readonly upstream: UpstreamId;
    readonly artifact: Artifact;
}

/**
 * Chooses what to load ahead of demand within the weight store's rate: the artifact with the most requests for each
 * byte first, and each next copy in the zone that has the fewest, so that the loss of a zone leaves a copy elsewhere.
 *
 * @example
 * planPrefetch({ demand, targets, budgetBytes: 8e9 });
 */
export function planPrefetch(snapshot: PrefetchSnapshot): readonly LoadOrder[] {
    const orders: LoadOrder[] = [];
    let budget = snapshot.budgetBytes;
    const gainOf = (demand: ArtifactDemand): number => demand.requestsPerSecond / demand.artifact.bytes;
    for (const demand of [...snapshot.demand].sort((a, b) => gainOf(b) - gainOf(a))) {
        const { artifact } = demand;
        let copies = snapshot.targets.filter(target => target.loaded.includes(artifact.name)).length;
        while (copies < demand.copies && artifact.bytes <= budget) {
            const target = findTarget(artifact, snapshot.targets, orders);
            if (!target) break;
            orders.push({ upstream: target.upstream, artifact });
            budget -= artifact.bytes;
            copies++;
        }
    }
    return orders;
}

function findTarget(
    artifact: Artifact,
    targets: readonly PrefetchTarget[],
    orders: readonly LoadOrder[],
): PrefetchTarget | undefined {
    const ordersOf = (target: PrefetchTarget): readonly LoadOrder[] =>
        orders.filter(order => order.upstream === target.upstream);
    const has = (target: PrefetchTarget): boolean =>
        target.loaded.includes(artifact.name) || ordersOf(target).some(order => order.artifact.name === artifact.name);
    const freeOf = (target: PrefetchTarget): number =>
        target.freeBytes - ordersOf(target).reduce((sum, order) => sum + order.artifact.bytes, 0);
    const copiesIn = (zone: ZoneId): number => targets.filter(target => target.zone === zone && has(target)).length;
    return targets.filter(target => !has(target) && freeOf(target) >= artifact.bytes)
        .sort((a, b) => copiesIn(a.zone) - copiesIn(b.zone) || freeOf(b) - freeOf(a))[0];
}
