import { KeyHash, Revision, WorkspaceId } from "../../ids/index.js";
import { TouchedViews, WorkspaceRegistry } from "../../workspace/index.js";
import { ViewChange } from "../view/index.js";

/** How many touched workspaces and keys are remembered; an entry further behind gets everything. */
const MOST_TOUCHED = 20_000;

interface Step {
    readonly revision: Revision;
    readonly touched: TouchedViews;
}

/**
 * Which workspaces and keys the latest changes touched. What they look like is read when an entry asks, so
 * that a delta is never older than the registry.
 *
 * @example
 * history.note(registry.revision, touched);
 */
export class ViewHistory {
    private steps: Step[] = [];
    private size = 0;
    /** Changes after this revision are remembered. */
    private from = 0;

    /** Forgets all: after a snapshot was restored, what led to it is not known. */
    restart(revision: Revision): void {
        this.steps = [];
        this.size = 0;
        this.from = revision;
    }

    note(revision: Revision, touched: TouchedViews): void {
        this.steps.push({ revision, touched });
        this.size += countTouched(touched);
        let dropped = 0;
        while (this.size > MOST_TOUCHED) {
            const oldest = this.steps[dropped++];
            this.size -= countTouched(oldest.touched);
            this.from = oldest.revision;
        }
        if (dropped > 0) this.steps.splice(0, dropped);
    }

    /** What changed since a revision. */
    changeSince(revision: number, registry: WorkspaceRegistry): ViewChange {
        if (revision === 0 || revision < this.from || revision > registry.revision) return describeAll(registry);
        const first = this.findFirstAfter(revision);
        const workspaces = new Set<WorkspaceId>();
        const keys = new Set<KeyHash>();
        for (const { touched } of this.steps.slice(first)) {
            for (const id of touched.workspaces) workspaces.add(id);
            for (const hash of touched.keys) keys.add(hash);
        }
        return describeTouched([...workspaces], [...keys], registry);
    }

    private findFirstAfter(revision: number): number {
        let at = this.steps.length;
        while (at > 0 && this.steps[at - 1].revision > revision) at--;
        return at;
    }
}

function countTouched({ workspaces, keys }: TouchedViews): number {
    return 1 + workspaces.length + keys.length;
}

function describeAll(registry: WorkspaceRegistry): ViewChange {
    return {
        full: true,
        revision: registry.revision,
        workspaces: registry.listWorkspaces().map(({ id }) => registry.viewWorkspace(id)!),
        removedWorkspaces: [],
        keys: registry.viewKeys(),
        withdrawnKeys: [],
    };
}

function describeTouched(workspaces: WorkspaceId[], keys: KeyHash[], registry: WorkspaceRegistry): ViewChange {
    return {
        full: false,
        revision: registry.revision,
        workspaces: workspaces.map(id => registry.viewWorkspace(id)).filter(view => view !== undefined),
        removedWorkspaces: workspaces.filter(id => !registry.workspace(id)),
        keys: keys.map(hash => registry.viewKey(hash)).filter(view => view !== undefined),
        withdrawnKeys: keys.filter(hash => !registry.viewKey(hash)),
    };
}
