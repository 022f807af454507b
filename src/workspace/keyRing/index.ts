import type { ChangeId, KeyHash, KeyId, Revision, WorkspaceId } from "../../ids/index.js";
import { copyString, SharedValues } from "../_lib/sharedValues.js";
import type { KeyView } from "../workspaceView/index.js";

/** Time for which a withdrawn key's hash is kept, so that it can't be granted again. */
const WITHDRAWN_RETENTION_MS = 400 * 24 * 3_600_000;

/** The last change of a configuration item: its author and the revision that it made. */
export interface LastChange {
    readonly revision: Revision;
    readonly operator: string;
    readonly changeId: ChangeId;
}

/** An API key, active or withdrawn. */
export interface KeyRecord extends LastChange {
    readonly id: KeyId;
    readonly hash: KeyHash;
    readonly workspace: WorkspaceId;
    /** In milliseconds since the epoch. */
    readonly grantedAt: number;
    /** In milliseconds since the epoch; undefined while the key is active. */
    readonly withdrawnAt?: number;
}

/**
 * The API keys of all workspaces, stored as hashes.
 *
 * Prevents a withdrawn key from becoming valid again through a delayed grant, or a grant by an operator who is unaware of the
 * withdrawal: the record of a withdrawn key is kept, and neither its id nor its hash is accepted again.
 *
 * @example
 * if (!ring.findUsed(keyId, hash)) ring.put(record);
 */
export class KeyRing {
    private readonly keys = new Map<KeyId, KeyRecord>();
    private readonly idsByHash = new Map<KeyHash, KeyId>();
    /** Ids of the withdrawn keys, in the order of their withdrawal. */
    private readonly withdrawnIds = new Set<KeyId>();
    private readonly operators = new SharedValues();

    find(id: KeyId): KeyRecord | undefined {
        return this.keys.get(id);
    }

    /** Finds a key that has this id or this hash, including withdrawn keys. */
    findUsed(id: KeyId, hash: KeyHash): KeyRecord | undefined {
        return this.keys.get(id) ?? this.keys.get(this.idsByHash.get(hash)!);
    }

    /** Lists the keys of a workspace, including withdrawn keys. */
    list(workspace: WorkspaceId): readonly KeyRecord[] {
        return [...this.keys.values()].filter(key => key.workspace === workspace);
    }

    /** Returns a key as entries see it; undefined when it is withdrawn or was never granted. */
    view(hash: KeyHash): KeyView | undefined {
        const key = this.keys.get(this.idsByHash.get(hash)!);
        if (!key || key.withdrawnAt !== undefined) return undefined;
        return { hash, id: key.id, workspace: key.workspace };
    }

    /** Returns all active keys, as entries see them. */
    viewAll(): readonly KeyView[] {
        return this.listActive().map(({ hash, id, workspace }) => ({ hash, id, workspace }));
    }

    /** Adds a key or replaces its record. */
    put(key: KeyRecord): void {
        const id = copyString(key.id);
        const hash = copyString(key.hash);
        this.keys.set(id, {
            ...key,
            id,
            hash,
            changeId: copyString(key.changeId),
            operator: this.operators.intern(key.operator),
        });
        this.idsByHash.set(hash, id);
        if (key.withdrawnAt !== undefined) this.withdrawnIds.add(id);
    }

    /** Marks a key as withdrawn, and removes withdrawn keys past their retention. */
    withdraw(key: KeyRecord, lastChange: LastChange, now: number): void {
        this.put({ ...key, ...lastChange, withdrawnAt: now });
        for (const id of this.withdrawnIds) {
            const oldest = this.keys.get(id)!;
            if (now - oldest.withdrawnAt! <= WITHDRAWN_RETENTION_MS) return;
            this.withdrawnIds.delete(id);
            this.keys.delete(id);
            this.idsByHash.delete(oldest.hash);
        }
    }

    /** Returns the active keys, then the withdrawn ones in the order of their withdrawal, so that a restore preserves that order. */
    snapshot(): readonly KeyRecord[] {
        return [...this.listActive(), ...[...this.withdrawnIds].map(id => this.keys.get(id)!)];
    }

    restore(keys: readonly KeyRecord[]): void {
        for (const collection of [this.keys, this.idsByHash, this.withdrawnIds]) collection.clear();
        for (const key of keys) this.put(key);
    }

    private listActive(): readonly KeyRecord[] {
        return [...this.keys.values()].filter(key => key.withdrawnAt === undefined);
    }
}
