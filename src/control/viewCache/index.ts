import { KeyHash, Revision, WorkspaceId } from "../../ids/index.js";
import { KeyView, ViewChange, WorkspaceView } from "../view/index.js";

/** Beyond this many the table of shared lists starts anew; what is shared already stays so. */
const MOST_SHARED = 4_096;

/**
 * An entry's view of workspaces and keys. Workspaces with equal classes share one list, and a key costs one entry of a map,
 * so that 40,000 workspaces fit beside the rest of a process.
 *
 * @example
 * const workspace = cache.findByKey(hashKey(token));
 */
export class ViewCache {
    private workspaces = new Map<WorkspaceId, WorkspaceView>();
    /** By the hash's 32 bytes as a string: half the memory of hex. */
    private keys = new Map<string, WorkspaceId>();
    private readonly shared = new Map<string, unknown>();
    private latest = 0;

    /** The revision in force here; 0 before the first view. */
    get revision(): Revision {
        return this.latest as Revision;
    }

    get workspaceCount(): number {
        return this.workspaces.size;
    }

    get keyCount(): number {
        return this.keys.size;
    }

    /**
     * Takes in a change. One of a lower revision is dropped: an answer that was held up in the network must not bring a withdrawn key
     * back.
     *
     * @returns Whether it was taken.
     */
    apply(change: ViewChange): boolean {
        if (change.revision < this.latest) return false;
        if (change.full) {
            this.workspaces = new Map();
            this.keys = new Map();
        }
        for (const id of change.removedWorkspaces) this.workspaces.delete(id);
        for (const workspace of change.workspaces) this.workspaces.set(workspace.id, this.share(workspace));
        for (const hash of change.withdrawnKeys) this.keys.delete(packHash(hash));
        for (const key of change.keys) this.keepKey(key);
        this.latest = change.revision;
        return true;
    }

    /** The workspace whose key has this hash; undefined when none has, or not any more. */
    findByKey(hash: KeyHash): WorkspaceView | undefined {
        const id = this.keys.get(packHash(hash));
        return id === undefined ? undefined : this.workspaces.get(id);
    }

    findWorkspace(id: WorkspaceId): WorkspaceView | undefined {
        return this.workspaces.get(id);
    }

    private keepKey({ hash, workspace }: KeyView): void {
        // The workspace's own copy of its id, so that the key's copy can be collected.
        this.keys.set(packHash(hash), this.workspaces.get(workspace)?.id ?? workspace);
    }

    private share(view: WorkspaceView): WorkspaceView {
        if (this.shared.size > MOST_SHARED) this.shared.clear();
        return {
            id: view.id,
            template: this.intern(view.template),
            weight: view.weight,
            classes: this.intern(view.classes),
            defaultClass: this.intern(view.defaultClass),
            pools: this.intern(view.pools),
            nonRepeatable: this.intern(view.nonRepeatable),
            tokenLimit: view.tokenLimit,
        };
    }

    private intern<Value>(value: Value): Value {
        const text = JSON.stringify(value);
        if (!this.shared.has(text)) this.shared.set(text, value);
        return this.shared.get(text) as Value;
    }
}

function packHash(hash: KeyHash): string {
    return Buffer.from(hash, "hex").toString("latin1");
}
