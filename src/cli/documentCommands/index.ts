import { CommandDefinition, CommandOptions, CommandTools } from "../commandDefinition/index.js";

/** Commands on the fleet document, which routes calls of any path. */
export const documentCommands: readonly CommandDefinition[] = [
    {
        usage: "config apply <file>",
        description: "Put a fleet document in force, if its version is higher than that of the one held",
        options: [],
        examples: ["sequoiamux config apply fleet.json", "sequoiamux config read > fleet.json"],
        run: applyDocument,
    },
    {
        usage: "config read",
        description: "Print the fleet document in force, as it was applied",
        options: [],
        examples: ["sequoiamux config read"],
        run: readDocument,
    },
];

async function applyDocument([file]: readonly string[], _: CommandOptions, tools: CommandTools): Promise<void> {
    const text = await tools.readFile(file);
    const answer = await tools.operatorApi.ask(client => client.applyDocument.mutate(text));
    const { version, state, revision } = answer;
    const line = state === "replaced"
        ? `version ${version} is in force, revision ${revision}`
        : `version ${version} changes nothing: one that is not lower is in force, revision ${revision}`;
    tools.output.record(answer, [line]);
}

async function readDocument(_: readonly string[], _options: CommandOptions, tools: CommandTools): Promise<void> {
    const text = await tools.operatorApi.ask(client => client.readDocument.query());
    tools.output.record(JSON.parse(text), [text.trimEnd()]);
}
