import { WorkspaceId } from "../../ids/index.js";
import { countOf } from "../../usage/index.js";
import { RoutedFleet } from "../routedFleet/index.js";

/** Returns how many started requests of a workspace the control log holds, in open and closed windows. */
export function countStarts(fleet: RoutedFleet, workspace: WorkspaceId): number {
    const { starts, openStarts } = fleet.controls[fleet.holder()]!.state;
    const closed = starts.listUnreported().map(({ counts }) => countOf(counts, workspace));
    const open = openStarts.list().flatMap(({ windows }) => windows.map(({ counts }) => countOf(counts, workspace)));
    return [...closed, ...open].reduce((sum, count) => sum + count, 0);
}
