import { PoolId, RequestId, SoftwareVersion, WorkspaceId } from "../../ids/index.js";

/** What streams that began alike have in common. */
export interface StreamOrigin {
    /** Undefined where the route needs no key. */
    readonly workspace?: WorkspaceId;
    readonly pool: PoolId;
    /** Version of the software that began the stream. */
    readonly software: SoftwareVersion;
    /** Time for which the caller may still take the stream up, in milliseconds. */
    readonly keepMs: number;
}

/** Where a stream began. */
export interface StreamStart extends StreamOrigin {
    /** The caller's id of the attempt that brought the first event. */
    readonly attempt: RequestId;
}

/** Streams that began alike, as they are sent and stored. */
export interface StreamStartGroup extends StreamOrigin {
    readonly attempts: readonly RequestId[];
}

/** Groups starts that have everything but the attempt in common, to save bytes. */
export function groupStarts(starts: Iterable<StreamStart>): StreamStartGroup[] {
    const groups = new Map<string, StreamStartGroup & { readonly attempts: RequestId[]; }>();
    for (const { attempt, ...origin } of starts) {
        const key = JSON.stringify([origin.workspace, origin.pool, origin.software, origin.keepMs]);
        const group = groups.get(key) ?? { ...origin, attempts: [] };
        groups.set(key, group);
        group.attempts.push(attempt);
    }
    return [...groups.values()];
}

/** Lists the starts of groups. */
export function listStarts(groups: readonly StreamStartGroup[]): StreamStart[] {
    return groups.flatMap(({ attempts, ...origin }) => attempts.map(attempt => ({ ...origin, attempt })));
}

/** Whether two starts of one attempt say the same: a stream has one pool and one software version. */
export function isSameStart(one: StreamStart, other: StreamStart): boolean {
    return one.pool === other.pool && one.software === other.software;
}
