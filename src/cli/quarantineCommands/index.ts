import { CommandContext, CommandDefinition, CommandOptions } from "../commandDefinition/index.js";

/** Commands that list and lift quarantines of requests, and of parts of prompts, that crash upstreams. */
export const quarantineCommands: readonly CommandDefinition[] = [
    {
        usage: "quarantine list",
        description: "List the requests that are kept away from upstreams, by the fingerprints of their content",
        options: [],
        examples: ["sequoiamux quarantine list"],
        run: listRequests,
    },
    {
        usage: "quarantine lift <fingerprint>",
        description: "Let a quarantined request run again, once what it crashed was mended",
        options: [],
        examples: ["sequoiamux quarantine lift 5f0c7a9d21b84e36aa90c1d2"],
        run: liftRequest,
    },
    {
        usage: "quarantine parts",
        description: "List the parts of prompts that are kept away from upstreams",
        options: [],
        examples: ["sequoiamux quarantine parts"],
        run: listParts,
    },
    {
        usage: "quarantine lift-part <part>",
        description: "Let prompts with a quarantined part run again, once what it crashed was mended",
        options: [],
        examples: ["sequoiamux quarantine lift-part 5c1e07a2"],
        run: liftPart,
    },
];

async function listRequests(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const requests = await context.operatorApi.call(client => client.quarantinedRequests.query());
    context.output.printTable(requests, [
        { title: "FINGERPRINT", read: ({ fingerprint }) => fingerprint },
        { title: "UNTIL", read: ({ until }) => new Date(until).toISOString() },
        { title: "ROUNDS", read: ({ rounds }) => rounds },
        { title: "CRASHED", read: ({ crashed }) => crashed.join(" ") },
    ]);
}

async function liftRequest(
    [fingerprint]: readonly string[],
    _: CommandOptions,
    context: CommandContext,
): Promise<void> {
    const answer = await context.operatorApi.call(client => client.liftQuarantine.mutate(fingerprint));
    const how = answer.state === "changed" ? "may run again" : "was not quarantined";
    context.output.printRecord(answer, [`request ${fingerprint} ${how}, revision ${answer.revision}`]);
}

async function listParts(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const parts = await context.operatorApi.call(client => client.quarantinedParts.query());
    context.output.printTable(parts, [
        { title: "PART", read: ({ part }) => part },
        { title: "UNTIL", read: ({ until }) => new Date(until).toISOString() },
        { title: "ROUNDS", read: ({ rounds }) => rounds },
        { title: "CRASHED", read: ({ crashed }) => crashed.join(" ") },
    ]);
}

async function liftPart([part]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const answer = await context.operatorApi.call(client => client.liftPartQuarantine.mutate(part));
    const how = answer.state === "changed" ? "may run again" : "were not held back";
    context.output.printRecord(answer, [`prompts with part ${part} ${how}, revision ${answer.revision}`]);
}
