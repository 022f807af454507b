import { WorkspaceId } from "../../ids/index.js";

/**
 * Number of requests that started to run, by workspace. Made and read by the functions of this module: a workspace may have the name of a
 * property that each object has.
 */
export type StartCounts = Readonly<Record<WorkspaceId, number>>;

/** A name that decoders rename, since it would set the prototype of an object. */
const PROTOTYPE_NAME = "__proto__";
/** No name of a workspace has this character. */
const ESCAPE = "\u0000";

/**
 * Makes counts by workspace.
 *
 * @example
 * const counts = makeCounts([["butcher" as WorkspaceId, 3]]);
 */
export function makeCounts(entries: Iterable<readonly [WorkspaceId, number]>): StartCounts {
    return Object.fromEntries([...entries].map(([workspace, count]) => [toKey(workspace), count])) as StartCounts;
}

/** Lists the counts by workspace. */
export function listCounts(counts: StartCounts): [WorkspaceId, number][] {
    return Object.entries(counts).map(([key, count]) => [toWorkspace(key as WorkspaceId), count]);
}

/** Returns the count of a workspace; 0 where there is none. */
export function countOf(counts: StartCounts, workspace: WorkspaceId): number {
    const key = toKey(workspace);
    return Object.hasOwn(counts, key) ? counts[key] : 0;
}

/** Returns the sums of two counts. */
export function addCounts(a: StartCounts, b: StartCounts): StartCounts {
    const sums = new Map(listCounts(a));
    for (const [workspace, count] of listCounts(b)) sums.set(workspace, (sums.get(workspace) ?? 0) + count);
    return makeCounts(sums);
}

/** Whether there are no counts. */
export function hasNoCounts(counts: StartCounts): boolean {
    return Object.keys(counts).length === 0;
}

function toKey(workspace: WorkspaceId): WorkspaceId {
    return workspace as string === PROTOTYPE_NAME ? ESCAPE + workspace as WorkspaceId : workspace;
}

function toWorkspace(key: WorkspaceId): WorkspaceId {
    return key.startsWith(ESCAPE) ? key.slice(ESCAPE.length) as WorkspaceId : key;
}
