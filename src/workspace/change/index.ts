import type { ChangeId, KeyHash, KeyId, Revision, TemplateName, WorkspaceId } from "../../ids/index.js";
import type { ParameterAssignment, TemplateSpec } from "../template/index.js";

/** Fields of every configuration change. */
interface ChangeBase {
    /** Created by the operator's tool and kept when it resends the change: a change applied before gets its first result again. */
    readonly changeId: ChangeId;
    /** Name of the operator, reported to the one whose concurrent change is refused as a conflict. */
    readonly operator: string;
}

/** Creates or replaces a template. */
export interface PutTemplateChange extends ChangeBase {
    readonly kind: "template.put";
    readonly name: TemplateName;
    readonly spec: TemplateSpec;
    /** Revision of the template that the edit is based on; 0 for a new template. */
    readonly base: number;
}

/** Creates a workspace from a template. */
export interface CreateWorkspaceChange extends ChangeBase {
    readonly kind: "workspace.create";
    readonly id: WorkspaceId;
    readonly template: TemplateName;
    readonly parameters: readonly ParameterAssignment[];
    /** Tokens per usage window; takes precedence over the template's limit. */
    readonly tokenLimit?: number;
}

/** Sets a workspace's own token limit per usage window, or removes it, so that the template's limit applies. */
export interface LimitWorkspaceChange extends ChangeBase {
    readonly kind: "workspace.limit";
    readonly id: WorkspaceId;
    readonly tokenLimit?: number;
    /** Revision of the workspace that the edit is based on. */
    readonly base: number;
}

/** Removes a workspace and withdraws its keys. */
export interface RemoveWorkspaceChange extends ChangeBase {
    readonly kind: "workspace.remove";
    readonly id: WorkspaceId;
    /** Revision of the workspace that the removal is based on. */
    readonly base: number;
}

/** Grants an API key to a workspace. The key itself stays with the operator; only its hash is sent and stored. */
export interface GrantKeyChange extends ChangeBase {
    readonly kind: "key.grant";
    readonly workspace: WorkspaceId;
    readonly keyId: KeyId;
    readonly hash: KeyHash;
}

/** Revokes a key permanently. */
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

/** Why a change was refused, apart from a revision conflict. */
export type ChangeRefusal = "not-found" | "exists" | "invalid" | "withdrawn" | "change-id-reused";

/**
 * Result of a change. `conflict`: the item was changed after revision `base`; the operator `winner` made its last change, at `revision`.
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
