import { CommandDefinition, CommandOptions, CommandTools } from "../commandDefinition/index.js";

/** Commands on availability zones. */
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

async function evacuateZone([zone]: readonly string[], _: CommandOptions, tools: CommandTools): Promise<void> {
    const answer = await tools.operatorApi.ask(client => client.evacuateZone.mutate(zone));
    const how = answer.state === "changed" ? "is evacuated" : "was evacuated already";
    tools.output.record(answer, [`zone ${zone} ${how}, revision ${answer.revision}`]);
}

async function restoreZone([zone]: readonly string[], _: CommandOptions, tools: CommandTools): Promise<void> {
    const answer = await tools.operatorApi.ask(client => client.restoreZone.mutate(zone));
    const how = answer.state === "changed" ? "is restored" : "was not evacuated";
    tools.output.record(answer, [`zone ${zone} ${how}, revision ${answer.revision}`]);
}

async function listZones(_: readonly string[], _options: CommandOptions, tools: CommandTools): Promise<void> {
    const zones = await tools.operatorApi.ask(client => client.evacuatedZones.query());
    tools.output.table(zones, [
        { title: "ZONE", read: ({ zone }) => zone },
        { title: "REVISION", read: ({ revision }) => revision },
    ]);
}
