import type { ChangeId, KeyHash, KeyId, Revision, WorkspaceId } from "../../ids/index.js";
import { copyText, SharedValues } from "../_lib/sharedValues.js";
import type { KeyView } from "../workspaceView/index.js";

/** How long a withdrawn key's hash is kept, so that it can't be granted again. */
const WITHDRAWN_RETENTION_MS = 400 * 24 * 3_600_000;

/** Who made the change that stands, and at which revision. */
export interface Authorship {
    readonly revision: Revision;
    readonly operator: string;
    readonly changeId: ChangeId;
}

/** A key, in force or withdrawn. */
export interface KeyRecord extends Authorship {
    readonly id: KeyId;
    readonly hash: KeyHash;
    readonly workspace: WorkspaceId;
    /** In milliseconds since the epoch. */
    readonly grantedAt: number;
    readonly withdrawnAt?: number;
}

/**
 * The keys of all workspaces.
 *
 * Guards against a withdrawn key that works again: a grant that was held up, or one by an operator who does not know, brings
 * its hash once more. A withdrawn key's record outlives the withdrawal, and neither its id nor its hash is taken again.
 *
 * @example
 * if (!ring.findTaken(keyId, hash)) ring.keep(record);
 */
export class KeyRing {
    private readonly keys = new Map<KeyId, KeyRecord>();
    private readonly idsByHash = new Map<KeyHash, KeyId>();
    /** In the order of their withdrawal. */
    private readonly withdrawn = new Set<KeyId>();
    private readonly shared = new SharedValues();

    find(id: KeyId): KeyRecord | undefined {
        return this.keys.get(id);
    }

    /** A key that has this id or this hash, withdrawn ones too. */
    findTaken(id: KeyId, hash: KeyHash): KeyRecord | undefined {
        return this.keys.get(id) ?? this.keys.get(this.idsByHash.get(hash)!);
    }

    /** The keys of a workspace, withdrawn ones too. */
    list(workspace: WorkspaceId): readonly KeyRecord[] {
        return [...this.keys.values()].filter(key => key.workspace === workspace);
    }

    /** A key as entries see it; undefined when it is withdrawn or was never granted. */
    view(hash: KeyHash): KeyView | undefined {
        const key = this.keys.get(this.idsByHash.get(hash)!);
        if (!key || key.withdrawnAt !== undefined) return undefined;
        return { hash, id: key.id, workspace: key.workspace };
    }

    /** All keys in force, as entries see them. */
    viewAll(): readonly KeyView[] {
        return this.listActive().map(({ hash, id, workspace }) => ({ hash, id, workspace }));
    }

    /** Takes in a key, or what has become of one. */
    keep(key: KeyRecord): void {
        const id = copyText(key.id);
        const hash = copyText(key.hash);
        this.keys.set(id, {
            ...key,
            id,
            hash,
            changeId: copyText(key.changeId),
            operator: this.shared.share(key.operator),
        });
        this.idsByHash.set(hash, id);
        if (key.withdrawnAt !== undefined) this.withdrawn.add(id);
    }

    /** Marks a key as withdrawn, and forgets those withdrawn very long ago. */
    withdraw(key: KeyRecord, author: Authorship, at: number): void {
        this.keep({ ...key, ...author, withdrawnAt: at });
        for (const id of this.withdrawn) {
            const oldest = this.keys.get(id)!;
            if (at - oldest.withdrawnAt! <= WITHDRAWN_RETENTION_MS) return;
            this.withdrawn.delete(id);
            this.keys.delete(id);
            this.idsByHash.delete(oldest.hash);
        }
    }

    /** Those in force first, then the withdrawn ones in the order of their withdrawal, which a restored ring keeps. */
    snapshot(): readonly KeyRecord[] {
        return [...this.listActive(), ...[...this.withdrawn].map(id => this.keys.get(id)!)];
    }

    restore(keys: readonly KeyRecord[]): void {
        for (const collection of [this.keys, this.idsByHash, this.withdrawn]) collection.clear();
        for (const key of keys) this.keep(key);
    }

    private listActive(): readonly KeyRecord[] {
        return [...this.keys.values()].filter(key => key.withdrawnAt === undefined);
    }
}
