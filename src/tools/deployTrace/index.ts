import { CliError, OperatorApi } from "../../cli/index.js";
import { ChangeId, KeyId, TemplateName, WorkspaceId } from "../../ids/index.js";
import { makeTraceTemplate, TraceHeader, WEIGHT_PARAMETER } from "../../load/index.js";
import { Random } from "../../ports/index.js";
import { ConfigChange, createKey, hashKey } from "../../workspace/index.js";

/** A configuration change without the id and the operator, which all changes carry. */
type ChangeBody = ConfigChange extends infer Change
    ? Change extends ConfigChange ? Omit<Change, "changeId" | "operator"> : never
    : never;

const OPERATOR_NAME = "launcher";

/**
 * Creates a trace's template and workspaces through the operators' API, and grants each workspace an API key.
 *
 * @param api - Client of the fleet's operators' API.
 * @param random - Cryptographically secure random source, for the keys.
 * @param header - Header of the trace.
 * @returns The API keys by workspace name.
 * @throws CliError when a change is refused.
 */
export async function deployTrace(api: OperatorApi, random: Random, header: TraceHeader): Promise<Map<string, string>> {
    const name = header.name as TemplateName;
    await applyChange(api, random, { kind: "template.put", name, spec: makeTraceTemplate(header), base: 0 });
    const keys = new Map<string, string>();
    for (const workspace of header.workspaces) {
        const id = workspace.name as WorkspaceId;
        const parameters = [{ name: WEIGHT_PARAMETER, value: workspace.weight }];
        await applyChange(api, random, { kind: "workspace.create", id, template: name, parameters });
        const key = createKey(random);
        const keyId = `${workspace.name}-1` as KeyId;
        await applyChange(api, random, { kind: "key.grant", workspace: id, keyId, hash: hashKey(key) });
        keys.set(workspace.name, key);
    }
    return keys;
}

async function applyChange(api: OperatorApi, random: Random, body: ChangeBody): Promise<void> {
    const reply = await api.change(
        { ...body, operator: OPERATOR_NAME, changeId: random.id() as ChangeId } as ConfigChange,
    );
    if (reply.result.kind !== "done") throw new CliError(`${body.kind}: ${JSON.stringify(reply.result)}`);
}
