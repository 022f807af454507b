import { ClassName, KeyHash, KeyId, PoolId, TemplateName, WorkspaceId } from "../../ids/index.js";

/** What a service class promises, as entries see it. */
export interface ClassView {
    readonly name: ClassName;
    /** 0 is the highest; there are 7 at the most. */
    readonly tier: number;
    /** Target from the request's arrival to the first token (or a service's answer), in milliseconds. */
    readonly firstTokenMs: number;
    /** Target between tokens, in milliseconds. */
    readonly tokenMs: number;
    /** The longest a request may wait for an upstream before it is refused, in milliseconds. */
    readonly maxWaitMs: number;
    /** The share of capacity this class may count on from slack, from 0 to 1. */
    readonly guaranteedShare: number;
}

/** A workspace as entries see it. */
export interface WorkspaceView {
    readonly id: WorkspaceId;
    readonly template: TemplateName;
    /** Its weight beside the other workspaces of a tier. */
    readonly weight: number;
    readonly classes: readonly ClassView[];
    readonly defaultClass: ClassName;
    /** The models and services it may use; empty means all. */
    readonly pools: readonly PoolId[];
    /** The services whose calls must not be repeated. */
    readonly nonRepeatable: readonly PoolId[];
    /** Tokens (prompt and completion) that it may use in one usage window; undefined: no limit. */
    readonly tokenLimit?: number;
}

/** A key as entries see it: its hash, never the key. */
export interface KeyView {
    readonly hash: KeyHash;
    readonly id: KeyId;
    readonly workspace: WorkspaceId;
}
