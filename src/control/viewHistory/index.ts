import { KeyHash, Revision, WorkspaceId } from "../../ids/index.js";
import { AffectedViews, WorkspaceRegistry } from "../../workspace/index.js";
import { ViewChange } from "../view/index.js";

/** Maximum number of remembered touched workspaces and keys; an entry that is further behind gets the full view. */
const MAX_TOUCHED = 20_000;

interface TouchedStep {
    readonly revision: Revision;
    readonly touched: AffectedViews;
}

/**
 * Records which workspaces and keys the latest changes touched. Their contents are read from the registry when an entry pulls, so that a
 * delta is never older than the registry.
 *
 * @example
 * history.record(registry.revision, touched);
 */
export class ViewHistory {
    private steps: TouchedStep[] = [];
    private size = 0;
    /** All changes after this revision are remembered. */
    private minRevision = 0;

    /** Clears the history after a snapshot was restored, whose earlier changes are unknown. */
    restart(revision: Revision): void {
        this.steps = [];
        this.size = 0;
        this.minRevision = revision;
    }

    /** Records the workspaces and keys that a change touched. */
    record(revision: Revision, touched: AffectedViews): void {
        this.steps.push({ revision, touched });
        this.size += countTouched(touched);
        let dropped = 0;
        while (this.size > MAX_TOUCHED) {
            const oldest = this.steps[dropped++];
            this.size -= countTouched(oldest.touched);
            this.minRevision = oldest.revision;
        }
        if (dropped > 0) this.steps.splice(0, dropped);
    }

    /** Returns the changes since a revision; the full view when the history doesn't go back that far. */
    changeSince(revision: number, registry: WorkspaceRegistry): ViewChange {
        if (revision === 0 || revision < this.minRevision || revision > registry.revision) return buildFull(registry);
        const first = this.findFirstAfter(revision);
        const workspaces = new Set<WorkspaceId>();
        const keys = new Set<KeyHash>();
        for (const { touched } of this.steps.slice(first)) {
            for (const id of touched.workspaces) workspaces.add(id);
            for (const hash of touched.keys) keys.add(hash);
        }
        return buildDelta([...workspaces], [...keys], registry);
    }

    private findFirstAfter(revision: number): number {
        let index = this.steps.length;
        while (index > 0 && this.steps[index - 1].revision > revision) index--;
        return index;
    }
}

function countTouched({ workspaces, keys }: AffectedViews): number {
    return 1 + workspaces.length + keys.length;
}

function buildFull(registry: WorkspaceRegistry): ViewChange {
    return {
        full: true,
        revision: registry.revision,
        workspaces: registry.listWorkspaces().map(({ id }) => registry.viewWorkspace(id)!),
        removedWorkspaces: [],
        keys: registry.viewKeys(),
        withdrawnKeys: [],
    };
}

function buildDelta(workspaces: WorkspaceId[], keys: KeyHash[], registry: WorkspaceRegistry): ViewChange {
    return {
        full: false,
        revision: registry.revision,
        workspaces: workspaces.map(id => registry.viewWorkspace(id)).filter(view => view !== undefined),
        removedWorkspaces: workspaces.filter(id => !registry.workspace(id)),
        keys: keys.map(hash => registry.viewKey(hash)).filter(view => view !== undefined),
        withdrawnKeys: keys.filter(hash => !registry.viewKey(hash)),
    };
}
