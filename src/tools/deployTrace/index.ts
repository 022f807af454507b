import { CliError, OperatorApi } from "../../cli/index.js";
import { ChangeId, KeyId, TemplateName, WorkspaceId } from "../../ids/index.js";
import { makeTraceTemplate, TraceHeader, WEIGHT_PARAMETER } from "../../load/index.js";
import { Random } from "../../ports/index.js";
import { ConfigChange, createKey, hashKey } from "../../workspace/index.js";

/** An operator change without what each one carries. */
type BareChange = ConfigChange extends infer Change
    ? Change extends ConfigChange ? Omit<Change, "changeId" | "operator"> : never
    : never;

const OPERATOR = "launcher";

/**
 * Makes a trace's template and workspaces through the operators' API, and grants each workspace a key.
 *
 * @param api - The operators' API of the fleet.
 * @param random - A source fit for secrets.
 * @param header - The trace's first line.
 * @returns The keys by workspace.
 * @throws CliError when a change is refused.
 */
export async function deployTrace(api: OperatorApi, random: Random, header: TraceHeader): Promise<Map<string, string>> {
    const name = header.name as TemplateName;
    await change(api, random, { kind: "template.put", name, spec: makeTraceTemplate(header), base: 0 });
    const keys = new Map<string, string>();
    for (const workspace of header.workspaces) {
        const id = workspace.name as WorkspaceId;
        const parameters = [{ name: WEIGHT_PARAMETER, value: workspace.weight }];
        await change(api, random, { kind: "workspace.create", id, template: name, parameters });
        const key = createKey(random);
        const keyId = `${workspace.name}-1` as KeyId;
        await change(api, random, { kind: "key.grant", workspace: id, keyId, hash: hashKey(key) });
        keys.set(workspace.name, key);
    }
    return keys;
}

async function change(api: OperatorApi, random: Random, bare: BareChange): Promise<void> {
    const answer = await api.change({ ...bare, operator: OPERATOR, changeId: random.id() as ChangeId } as ConfigChange);
    if (answer.result.kind !== "done") throw new CliError(`${bare.kind}: ${JSON.stringify(answer.result)}`);
}
