import { KeyHash } from "../../ids/index.js";
import { WorkspaceView } from "../../workspace/index.js";
import { PackedViews, ProfileView, ViewChange } from "../view/index.js";

/** Size of a key's hash, in bytes. */
export const HASH_BYTES = 32;
/** Value for "no limit" in the column of token limits. */
export const NO_LIMIT = -1;

/**
 * Converts a change's workspaces and keys to the packed column format.
 *
 * @example
 * const packed = packChange(state.changeSince(0));
 */
export function packChange(change: ViewChange): ViewChange {
    return { ...change, workspaces: [], keys: [], packed: { ...packWorkspaces(change), ...packKeys(change) } };
}

type WorkspaceColumns = Pick<PackedViews, "profiles" | "ids" | "profileOf" | "tokenLimits">;
type KeyColumns = Pick<PackedViews, "hashes" | "workspaceOf">;

function packWorkspaces({ workspaces }: ViewChange): WorkspaceColumns {
    const profiles: ProfileView[] = [];
    // The registry resolves a template once per set of parameters, so equal profiles share the same list of classes by reference.
    const indexes = new Map<WorkspaceView["classes"], number>();
    const profileOf = workspaces.map(view => {
        const known = indexes.get(view.classes);
        if (known !== undefined) return known;
        const { template, weight, classes, defaultClass, pools, nonRepeatable } = view;
        indexes.set(view.classes, profiles.length);
        return profiles.push({ template, weight, classes, defaultClass, pools, nonRepeatable }) - 1;
    });
    return {
        profiles,
        profileOf,
        ids: workspaces.map(view => view.id),
        tokenLimits: workspaces.map(view => view.tokenLimit ?? NO_LIMIT),
    };
}

function packKeys({ keys }: ViewChange): KeyColumns {
    const hashes = Buffer.alloc(keys.length * HASH_BYTES);
    keys.forEach((key, index) => hashes.write(key.hash, index * HASH_BYTES, "hex"));
    return { hashes, workspaceOf: keys.map(key => key.workspace) };
}

/** Converts a hex hash to a string with one character per byte, which takes half the memory. */
export function packHash(hash: KeyHash): string {
    return Buffer.from(hash, "hex").toString("latin1");
}
