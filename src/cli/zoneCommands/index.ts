import { CommandContext, CommandDefinition, CommandOptions } from "../commandDefinition/index.js";

/** Commands that evacuate, restore and list availability zones. */
export const zoneCommands: readonly CommandDefinition[] = [
    {
        usage: "zone evacuate <zone>",
        description: "Send nothing more to the upstreams of a zone; what runs there ends by itself",
        options: [],
        examples: ["sequoiamux zone evacuate vogar"],
        run: evacuateZone,
    },
    {
        usage: "zone restore <zone>",
        description: "Send to the upstreams of a zone again, at first as if they were cold",
        options: [],
        examples: ["sequoiamux zone restore vogar"],
        run: restoreZone,
    },
    {
        usage: "zone list",
        description: "List the evacuated zones and the revision that evacuated each",
        options: [],
        examples: ["sequoiamux zone list"],
        run: listZones,
    },
];

async function evacuateZone([zone]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const answer = await context.operatorApi.call(client => client.evacuateZone.mutate(zone));
    const how = answer.state === "changed" ? "is evacuated" : "was evacuated already";
    context.output.printRecord(answer, [`zone ${zone} ${how}, revision ${answer.revision}`]);
}

async function restoreZone([zone]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const answer = await context.operatorApi.call(client => client.restoreZone.mutate(zone));
    const how = answer.state === "changed" ? "is restored" : "was not evacuated";
    context.output.printRecord(answer, [`zone ${zone} ${how}, revision ${answer.revision}`]);
}

async function listZones(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const zones = await context.operatorApi.call(client => client.evacuatedZones.query());
    context.output.printTable(zones, [
        { title: "ZONE", read: ({ zone }) => zone },
        { title: "REVISION", read: ({ revision }) => revision },
    ]);
}
