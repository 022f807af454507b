import { CommandContext, CommandDefinition, CommandOptions } from "../commandDefinition/index.js";

/** Commands that apply and print the fleet document, which defines the routes of calls of any path. */
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

async function applyDocument([file]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const text = await context.readFile(file);
    const answer = await context.operatorApi.call(client => client.applyDocument.mutate(text));
    const { version, state, revision } = answer;
    const line = state === "replaced"
        ? `version ${version} is in force, revision ${revision}`
        : `version ${version} changes nothing: one that is not lower is in force, revision ${revision}`;
    context.output.printRecord(answer, [line]);
}

async function readDocument(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const text = await context.operatorApi.call(client => client.readDocument.query());
    context.output.printRecord(JSON.parse(text), [text.trimEnd()]);
}
