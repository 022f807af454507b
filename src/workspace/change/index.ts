import type { ChangeId, KeyHash, KeyId, Revision, TemplateName, WorkspaceId } from "../../ids/index.js";
import type { ParameterAssignment, TemplateSpec } from "../template/index.js";

/** What each change of the configuration carries. */
interface ChangeBase {
    /** Made by the operator's tool and kept over resends: a change seen before gets its first answer again. */
    readonly changeId: ChangeId;
    /** Who asks, for the one who loses a race. */
    readonly operator: string;
}

/** Makes a template or edits it. */
export interface PutTemplateChange extends ChangeBase {
    readonly kind: "template.put";
    readonly name: TemplateName;
    readonly spec: TemplateSpec;
    /** The template's revision that the edit was made against; 0 for a new one. */
    readonly base: number;
}

/** Makes a workspace from a template. */
export interface CreateWorkspaceChange extends ChangeBase {
    readonly kind: "workspace.create";
    readonly id: WorkspaceId;
    readonly template: TemplateName;
    readonly parameters: readonly ParameterAssignment[];
    readonly tokenLimit?: number;
}

/** Sets a workspace's own token limit for each usage window; without one, the template's holds again. */
export interface LimitWorkspaceChange extends ChangeBase {
    readonly kind: "workspace.limit";
    readonly id: WorkspaceId;
    readonly tokenLimit?: number;
    /** The workspace's revision that the edit was made against. */
    readonly base: number;
}

/** Removes a workspace and withdraws its keys. */
export interface RemoveWorkspaceChange extends ChangeBase {
    readonly kind: "workspace.remove";
    readonly id: WorkspaceId;
    readonly base: number;
}

/** Grants a key. The key itself stays with the operator; only its hash is sent and kept. */
export interface GrantKeyChange extends ChangeBase {
    readonly kind: "key.grant";
    readonly workspace: WorkspaceId;
    readonly keyId: KeyId;
    readonly hash: KeyHash;
}

/** Withdraws a key for good. */
export interface WithdrawKeyChange extends ChangeBase {
    readonly kind: "key.withdraw";
    readonly keyId: KeyId;
}

/** A change of the configuration. */
export type ConfigChange =
    | PutTemplateChange
    | CreateWorkspaceChange
    | LimitWorkspaceChange
    | RemoveWorkspaceChange
    | GrantKeyChange
    | WithdrawKeyChange;

/** Why a change was refused whatever the numbers. */
export type ChangeRefusal = "not-found" | "exists" | "invalid" | "withdrawn" | "change-id-reused";

/**
 * What became of a change. `conflict`: the thing has moved on since `base`; `winner` made the change that stands, at
 * `revision`.
 */
export type ChangeResult =
    | { readonly kind: "done"; readonly revision: Revision; }
    | {
        readonly kind: "conflict";
        readonly revision: Revision;
        readonly winner: string;
        readonly winningChange: ChangeId;
    }
    | { readonly kind: "refused"; readonly reason: ChangeRefusal; readonly message: string; };
