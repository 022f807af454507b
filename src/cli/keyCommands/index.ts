import { ChangeId, KeyId, WorkspaceId } from "../../ids/index.js";
import { createKey, hashKey } from "../../workspace/index.js";
import { describeAnswer } from "../_lib/describeAnswer.js";
import { CHANGE_ID_OPTION, readTexts } from "../_lib/readOptions.js";
import { CommandDefinition, CommandOptions, CommandTools } from "../commandDefinition/index.js";
import { formatTime } from "../output/index.js";

const KEY_ID_LENGTH = 12;

/** Commands on keys. */
export const keyCommands: readonly CommandDefinition[] = [
    {
        usage: "key grant <workspace>",
        description: "Grant a key; it is shown once and kept nowhere",
        options: [],
        examples: ["sequoiamux key grant keflavik-school"],
        run: grantKey,
    },
    {
        usage: "key list <workspace>",
        description: "List a workspace's keys, withdrawn ones too",
        options: [],
        examples: ["sequoiamux key list keflavik-school"],
        run: listKeys,
    },
    {
        usage: "key withdraw <key-id>",
        description: "Withdraw a key for good, also from callers still connected",
        options: [CHANGE_ID_OPTION],
        examples: ["sequoiamux key withdraw 3f9c01ab77de"],
        run: withdrawKey,
    },
];

/** The key is made here, and only its hash is sent: an answer that is lost can't lose the key, and no host ever has it. */
async function grantKey([workspace]: readonly string[], _: CommandOptions, tools: CommandTools): Promise<void> {
    const key = createKey(tools.random);
    const keyId = tools.random.id().slice(0, KEY_ID_LENGTH) as KeyId;
    const answer = await tools.operatorApi.change({
        kind: "key.grant",
        changeId: tools.random.id() as ChangeId,
        operator: tools.operator,
        workspace: workspace as WorkspaceId,
        keyId,
        hash: hashKey(key),
    });
    const line = describeAnswer(`key ${keyId}`, answer);
    tools.output.record({ keyId, key, ...answer }, [line, `key, shown this once: ${key}`]);
}

async function listKeys([workspace]: readonly string[], _: CommandOptions, tools: CommandTools): Promise<void> {
    const keys = await tools.operatorApi.ask(client => client.keys.query(workspace));
    tools.output.table(keys, [
        { title: "KEY ID", read: row => row.id },
        { title: "GRANTED", read: row => formatTime(row.grantedAt) },
        { title: "WITHDRAWN", read: row => formatTime(row.withdrawnAt) },
        { title: "BY", read: row => row.operator },
    ]);
}

async function withdrawKey([keyId]: readonly string[], options: CommandOptions, tools: CommandTools): Promise<void> {
    const answer = await tools.operatorApi.change({
        kind: "key.withdraw",
        changeId: (readTexts(options.changeId)[0] ?? tools.random.id()) as ChangeId,
        operator: tools.operator,
        keyId: keyId as KeyId,
    });
    tools.output.record(answer, [describeAnswer(`key ${keyId}`, answer)]);
}
