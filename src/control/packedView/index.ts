import { KeyHash } from "../../ids/index.js";
import { WorkspaceView } from "../../workspace/index.js";
import { PackedViews, ProfileView, ViewChange } from "../view/index.js";

/** The size of a key's hash, in bytes. */
export const HASH_BYTES = 32;
/** Stands for "no limit" where a column needs a number. */
export const NO_LIMIT = -1;

/**
 * Puts a change's workspaces and keys into columns.
 *
 * @example
 * const small = packChange(state.changeSince(0));
 */
export function packChange(change: ViewChange): ViewChange {
    return { ...change, workspaces: [], keys: [], packed: { ...packWorkspaces(change), ...packKeys(change) } };
}

type WorkspaceColumns = Pick<PackedViews, "profiles" | "ids" | "profileOf" | "tokenLimits">;
type KeyColumns = Pick<PackedViews, "hashes" | "workspaceOf">;

function packWorkspaces({ workspaces }: ViewChange): WorkspaceColumns {
    const profiles: ProfileView[] = [];
    // The registry resolves a template once for each set of parameters: equal profiles have the very same list of classes.
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
    keys.forEach((key, at) => hashes.write(key.hash, at * HASH_BYTES, "hex"));
    return { hashes, workspaceOf: keys.map(key => key.workspace) };
}

/** A hash in half the memory of hex: its bytes, one a character. */
export function packHash(hash: KeyHash): string {
    return Buffer.from(hash, "hex").toString("latin1");
}
