import { ClassName, KeyHash, KeyId, PoolId, TemplateName, WorkspaceId } from "../../ids/index.js";

/** A service class and its targets, as entries see it. */
export interface ClassView {
    readonly name: ClassName;
    /** Priority tier, from 0 (highest) to 6. */
    readonly tier: number;
    /** Target time from the request's arrival to the first token (or a service's answer), in milliseconds. */
    readonly firstTokenMs: number;
    /** Target time between tokens, in milliseconds. */
    readonly tokenMs: number;
    /** Maximum time that a request waits for an upstream before it is refused, in milliseconds. */
    readonly maxWaitMs: number;
    /** Share of capacity guaranteed to this class while higher tiers have slack, from 0 to 1. */
    readonly guaranteedShare: number;
}

/** A workspace as entries see it. */
export interface WorkspaceView {
    readonly id: WorkspaceId;
    readonly template: TemplateName;
    /** Weight relative to the other workspaces of a tier. */
    readonly weight: number;
    readonly classes: readonly ClassView[];
    readonly defaultClass: ClassName;
    /** Models and services that the workspace may use; empty means all. */
    readonly pools: readonly PoolId[];
    /** Services whose calls must not be repeated. */
    readonly nonRepeatable: readonly PoolId[];
    /** Maximum number of tokens (prompt and completion) per usage window; undefined for no limit. */
    readonly tokenLimit?: number;
}

/** An API key as entries see it: its hash, never the key itself. */
export interface KeyView {
    readonly hash: KeyHash;
    readonly id: KeyId;
    readonly workspace: WorkspaceId;
}
