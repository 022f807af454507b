import { ChangeId, KeyId, WorkspaceId } from "../../ids/index.js";
import { createKey, hashKey } from "../../workspace/index.js";
import { describeChangeAnswer } from "../_lib/describeChangeAnswer.js";
import { CHANGE_ID_OPTION, readTexts } from "../_lib/readOptions.js";
import { CommandContext, CommandDefinition, CommandOptions } from "../commandDefinition/index.js";
import { formatTime } from "../output/index.js";

const KEY_ID_LENGTH = 12;

/** Commands that grant, list and withdraw keys. */
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

/**
 * Generates a key and sends only its hash, so that no host ever has the key and a lost answer can't lose it.
 */
async function grantKey([workspace]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const key = createKey(context.random);
    const keyId = context.random.id().slice(0, KEY_ID_LENGTH) as KeyId;
    const answer = await context.operatorApi.change({
        kind: "key.grant",
        changeId: context.random.id() as ChangeId,
        operator: context.operator,
        workspace: workspace as WorkspaceId,
        keyId,
        hash: hashKey(key),
    });
    const line = describeChangeAnswer(`key ${keyId}`, answer);
    context.output.printRecord({ keyId, key, ...answer }, [line, `key, shown this once: ${key}`]);
}

async function listKeys([workspace]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const keys = await context.operatorApi.call(client => client.keys.query(workspace));
    context.output.printTable(keys, [
        { title: "KEY ID", read: row => row.id },
        { title: "GRANTED", read: row => formatTime(row.grantedAt) },
        { title: "WITHDRAWN", read: row => formatTime(row.withdrawnAt) },
        { title: "BY", read: row => row.operator },
    ]);
}

async function withdrawKey(
    [keyId]: readonly string[],
    options: CommandOptions,
    context: CommandContext,
): Promise<void> {
    const answer = await context.operatorApi.change({
        kind: "key.withdraw",
        changeId: (readTexts(options.changeId)[0] ?? context.random.id()) as ChangeId,
        operator: context.operator,
        keyId: keyId as KeyId,
    });
    context.output.printRecord(answer, [describeChangeAnswer(`key ${keyId}`, answer)]);
}
