import { createHash } from "node:crypto";
import { ControlCommand, ControlState } from "../../../../control/index.js";
import { ChangeId, ClassName, KeyHash, KeyId, LogIndex, TemplateName, WorkspaceId } from "../../../../ids/index.js";
import { decodeValue, encodeValue } from "../../../../wire/index.js";
import { ConfigChange, TemplateSpec } from "../../../../workspace/index.js";

/** Valid keys of each workspace: one in use and its replacement. */
export const KEYS_PER_WORKSPACE = 2;
const TEMPLATE_COUNT = 20;
const TIER_COUNT = 7;
const WEIGHT_COUNT = 5;
const OPERATOR = "operator-1";
const PROPOSED_AT_MS = 1_780_000_000_000;

/** Control state filled with sample data by commands, each encoded and decoded as in the control log. */
export class SampleState {
    readonly state = new ControlState();
    private index = 0;
    private workspaces = 0;

    constructor() {
        for (let number = 0; number < TEMPLATE_COUNT; number++) {
            this.apply({
                kind: "template.put",
                name: formatTemplateName(number),
                spec: makeSpec(),
                base: 0,
                ...this.makeAuthorship(),
            });
        }
    }

    /** Applies a copy of a command that has been through the log's encoding. */
    apply(command: ControlCommand): unknown {
        const index = ++this.index as LogIndex;
        return this.state.apply(decodeValue(encodeValue(command)), { index, proposedAt: PROPOSED_AT_MS + index });
    }

    /** Creates workspaces with their keys until there are `count` of them. */
    growTo(count: number): void {
        while (this.workspaces < count) this.addWorkspace(this.workspaces++);
    }

    /** Applies a change of one workspace's token limit. */
    changeLimit(workspace: number): unknown {
        const id = formatWorkspaceId(workspace);
        const base = this.state.registry.workspace(id)!.revision;
        return this.apply({ kind: "workspace.limit", id, tokenLimit: this.index, base, ...this.makeAuthorship() });
    }

    private addWorkspace(number: number): void {
        const id = formatWorkspaceId(number);
        const parameters = [{ name: "weight", value: 1 + number % WEIGHT_COUNT }];
        const template = formatTemplateName(number % TEMPLATE_COUNT);
        this.apply({
            kind: "workspace.create",
            id,
            template,
            parameters,
            tokenLimit: 1_000_000 + number,
            ...this.makeAuthorship(),
        });
        for (let key = 0; key < KEYS_PER_WORKSPACE; key++) this.apply(this.makeGrant(id, number, key));
    }

    private makeGrant(workspace: WorkspaceId, number: number, key: number): ConfigChange {
        const keyId = `key-${number}-${key}` as KeyId;
        return { kind: "key.grant", workspace, keyId, hash: hashOf(keyId), ...this.makeAuthorship() };
    }

    private makeAuthorship(): { readonly changeId: ChangeId; readonly operator: string; } {
        return { changeId: hashOf(`change-${this.index}`).slice(0, 32) as ChangeId, operator: OPERATOR };
    }
}

/** Returns the ID of the nth workspace. */
export function formatWorkspaceId(number: number): WorkspaceId {
    return `workspace-${String(number).padStart(5, "0")}` as WorkspaceId;
}

/** Returns the hash of the first key of the nth workspace. */
export function hashOfFirstKey(number: number): KeyHash {
    return hashOf(`key-${number}-0`) as KeyHash;
}

function hashOf(text: string): KeyHash {
    return createHash("sha256").update(text).digest("hex") as KeyHash;
}

function formatTemplateName(number: number): TemplateName {
    return `template-${number}` as TemplateName;
}

function makeSpec(): TemplateSpec {
    const classes = Array.from({ length: TIER_COUNT }, (_, tier) => ({
        name: `class-${tier}`,
        tier,
        firstTokenMs: 1_400,
        tokenMs: 37,
        maxWaitMs: 10_000,
        guaranteedShare: 0.05,
    }));
    return {
        parameters: [{ name: "weight", default: 1 }],
        weight: "$weight",
        classes,
        defaultClass: "class-3" as ClassName,
        pools: ["general-70b", "draft-8b", "orders"],
        nonRepeatable: ["orders"],
        tokenLimit: 1_000_000,
    };
}
