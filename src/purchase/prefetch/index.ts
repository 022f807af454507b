import { UpstreamId, ZoneId } from "../../ids/index.js";

/** A model or an adapter that an upstream loads from the weight store. */
export interface Artifact {
    readonly name: string;
    readonly kind: "load_model" | "load_adapter";
    readonly bytes: number;
}

/** An upstream that can load artifacts. */
export interface PrefetchTarget {
    readonly upstream: UpstreamId;
    readonly zone: ZoneId;
    /** Names of the artifacts that it has loaded or is loading. */
    readonly loaded: readonly string[];
    readonly freeBytes: number;
}

/** Forecast demand for an artifact. */
export interface ArtifactDemand {
    readonly artifact: Artifact;
    /** Number of upstreams that should have the artifact, as forecast. */
    readonly copies: number;
    /** Forecast rate of requests that use the artifact; sets the loading order. */
    readonly requestsPerSecond: number;
}

/** Input of `planPrefetch`. */
export interface PrefetchInput {
    readonly demand: readonly ArtifactDemand[];
    readonly targets: readonly PrefetchTarget[];
    /** Bytes that the weight store can serve until the next decision. */
    readonly budgetBytes: number;
}

/** An order to an upstream to load an artifact. */
export interface LoadOrder {
    readonly upstream: UpstreamId;
    readonly artifact: Artifact;
}

/**
 * Chooses the artifacts to load ahead of demand within the weight store's rate: those with the most requests per byte first, and each
 * further copy in the zone that has the fewest, so that the loss of a zone leaves a copy elsewhere.
 *
 * @example
 * planPrefetch({ demand, targets, budgetBytes: 8e9 });
 */
export function planPrefetch(input: PrefetchInput): readonly LoadOrder[] {
    const orders: LoadOrder[] = [];
    let remainingBytes = input.budgetBytes;
    const requestsPerByte = (demand: ArtifactDemand): number => demand.requestsPerSecond / demand.artifact.bytes;
    for (const demand of [...input.demand].sort((a, b) => requestsPerByte(b) - requestsPerByte(a))) {
        const { artifact } = demand;
        let copies = input.targets.filter(target => target.loaded.includes(artifact.name)).length;
        while (copies < demand.copies && artifact.bytes <= remainingBytes) {
            const target = findTarget(artifact, input.targets, orders);
            if (!target) break;
            orders.push({ upstream: target.upstream, artifact });
            remainingBytes -= artifact.bytes;
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
    const hasOrWillLoad = (target: PrefetchTarget): boolean =>
        target.loaded.includes(artifact.name) || ordersOf(target).some(order => order.artifact.name === artifact.name);
    const remainingFreeBytes = (target: PrefetchTarget): number =>
        target.freeBytes - ordersOf(target).reduce((sum, order) => sum + order.artifact.bytes, 0);
    const copiesIn = (zone: ZoneId): number =>
        targets.filter(target => target.zone === zone && hasOrWillLoad(target)).length;
    return targets.filter(target => !hasOrWillLoad(target) && remainingFreeBytes(target) >= artifact.bytes)
        .sort((a, b) => copiesIn(a.zone) - copiesIn(b.zone) || remainingFreeBytes(b) - remainingFreeBytes(a))[0];
}
