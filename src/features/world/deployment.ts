import { ChangeId, ClassName, KeyId, PoolId, TemplateName, WorkspaceId } from "../../ids/index.js";
import { hashKey, TemplateSpec } from "../../workspace/index.js";
import { MemoryFleet } from "./memoryFleet.js";

/** The template from which scenarios create their workspaces. */
export const SCENARIO_TEMPLATE: TemplateSpec = {
    parameters: [{ name: "weight", default: 1 }],
    weight: "$weight",
    classes: [
        { name: "sheet", tier: 0, firstTokenMs: 1_500, tokenMs: 60, maxWaitMs: 5_000, guaranteedShare: 0 },
        { name: "summary", tier: 2, firstTokenMs: 4_000, tokenMs: 100, maxWaitMs: 20_000, guaranteedShare: 0 },
        { name: "bulk", tier: 5, firstTokenMs: 20_000, tokenMs: 200, maxWaitMs: 60_000, guaranteedShare: 0.05 },
    ],
    defaultClass: "summary" as ClassName,
    pools: [],
    nonRepeatable: ["orders" as PoolId],
};

/** Derives the API key of a scenario's workspace; it is the same on each run. */
export function keyOf(workspace: string): string {
    return `sqx_${hashKey(`key of ${workspace}`).slice(0, 32)}`;
}

/** Stores the template, creates workspaces from it and grants each one a key. */
export async function deployWorkspaces(fleet: MemoryFleet, workspaces: readonly string[]): Promise<void> {
    const makeOrigin = (id: string) => ({ operator: "anna", changeId: id as ChangeId });
    const name = "sheets" as TemplateName;
    await fleet.applyChange({
        kind: "template.put",
        name,
        spec: SCENARIO_TEMPLATE,
        base: 0,
        ...makeOrigin("template"),
    });
    for (const workspace of workspaces) {
        const id = workspace as WorkspaceId;
        await fleet.applyChange({
            kind: "workspace.create",
            id,
            template: name,
            parameters: [],
            ...makeOrigin(`create-${id}`),
        });
        const key = keyOf(workspace);
        fleet.keyWatch.add(key);
        await fleet.applyChange({
            kind: "key.grant",
            workspace: id,
            keyId: `${workspace}-key` as KeyId,
            hash: hashKey(key),
            ...makeOrigin(`grant-${id}`),
        });
    }
}
