import { createHash } from "node:crypto";
import { ControlCommand, ControlState } from "../../../../control/index.js";
import { ChangeId, ClassName, KeyHash, KeyId, LogIndex, TemplateName, WorkspaceId } from "../../../../ids/index.js";
import { decodeValue, encodeValue } from "../../../../wire/index.js";
import { ConfigChange, TemplateSpec } from "../../../../workspace/index.js";

/** Keys in force for each workspace: one in use and one that takes its place. */
export const KEYS_EACH = 2;
const TEMPLATES = 20;
const TIERS = 7;
const WEIGHTS = 5;
const OPERATOR = "operator-1";
const PROPOSED_AT = 1_780_000_000_000;

/** A control state that is fed one command after the other, each as it comes from the log. */
export class SampleState {
    readonly state = new ControlState();
    private index = 0;
    private workspaces = 0;

    constructor() {
        for (let number = 0; number < TEMPLATES; number++) {
            this.apply({
                kind: "template.put",
                name: nameTemplate(number),
                spec: makeSpec(),
                base: 0,
                ...this.author(),
            });
        }
    }

    /** Applies a command to a copy of it that has been through the log's encoding. */
    apply(command: ControlCommand): unknown {
        const index = ++this.index as LogIndex;
        return this.state.apply(decodeValue(encodeValue(command)), { index, proposedAt: PROPOSED_AT + index });
    }

    /** Creates workspaces with their keys until there are so many. */
    grow(count: number): void {
        while (this.workspaces < count) this.addWorkspace(this.workspaces++);
    }

    /** A change that touches one workspace, each time the same. */
    changeLimit(workspace: number): unknown {
        const id = nameWorkspace(workspace);
        const base = this.state.registry.workspace(id)!.revision;
        return this.apply({ kind: "workspace.limit", id, tokenLimit: this.index, base, ...this.author() });
    }

    private addWorkspace(number: number): void {
        const id = nameWorkspace(number);
        const parameters = [{ name: "weight", value: 1 + number % WEIGHTS }];
        const template = nameTemplate(number % TEMPLATES);
        this.apply({
            kind: "workspace.create",
            id,
            template,
            parameters,
            tokenLimit: 1_000_000 + number,
            ...this.author(),
        });
        for (let key = 0; key < KEYS_EACH; key++) this.apply(this.makeGrant(id, number, key));
    }

    private makeGrant(workspace: WorkspaceId, number: number, key: number): ConfigChange {
        const keyId = `key-${number}-${key}` as KeyId;
        return { kind: "key.grant", workspace, keyId, hash: hashOf(keyId), ...this.author() };
    }

    private author(): { readonly changeId: ChangeId; readonly operator: string; } {
        return { changeId: hashOf(`change-${this.index}`).slice(0, 32) as ChangeId, operator: OPERATOR };
    }
}

/** The name of the nth workspace. */
export function nameWorkspace(number: number): WorkspaceId {
    return `workspace-${String(number).padStart(5, "0")}` as WorkspaceId;
}

/** The hash of a workspace's first key. */
export function hashOfKey(number: number): KeyHash {
    return hashOf(`key-${number}-0`) as KeyHash;
}

function hashOf(text: string): KeyHash {
    return createHash("sha256").update(text).digest("hex") as KeyHash;
}

function nameTemplate(number: number): TemplateName {
    return `template-${number}` as TemplateName;
}

function makeSpec(): TemplateSpec {
    const classes = Array.from({ length: TIERS }, (_, tier) => ({
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
