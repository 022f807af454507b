import { UpstreamRow } from "../../control/index.js";
import { readTexts } from "../_lib/readOptions.js";
import { CommandContext, CommandDefinition, CommandOptions } from "../commandDefinition/index.js";
import { EntryAnswer } from "../entryApi/index.js";
import { formatTime } from "../output/index.js";

/** Commands that show hosts, upstreams, queues, histograms and requests, and drain or stop hosts. */
export const fleetCommands: readonly CommandDefinition[] = [
    {
        usage: "hosts",
        description: "List the live entries and the revision that each has in force",
        options: [],
        examples: ["sequoiamux hosts"],
        run: listHosts,
    },
    {
        usage: "host drain <host>",
        description: "Let a host leave the balancer and take no new requests",
        options: [],
        examples: ["sequoiamux host drain entry-3"],
        run: drainHost,
    },
    {
        usage: "host stop <host>",
        description: "Drain a host, finish what it runs, and end its entry",
        options: [],
        examples: ["sequoiamux host stop entry-3"],
        run: stopHost,
    },
    {
        usage: "upstreams",
        description: "List the upstreams",
        options: [],
        examples: ["sequoiamux upstreams --json"],
        run: listUpstreams,
    },
    {
        usage: "queues",
        description: "List what waits, by pool, tier and workspace",
        options: [],
        examples: ["sequoiamux queues"],
        run: listQueues,
    },
    {
        usage: "histograms",
        description: "Show the distributions of each workspace's classes, by host",
        options: [
            { usage: "--workspace <id>", description: "This workspace alone" },
            { usage: "--class <name>", description: "This class alone" },
        ],
        examples: ["sequoiamux histograms --workspace keflavik-school"],
        run: listHistograms,
    },
    {
        usage: "explain <request>",
        description: "Explain one request: why this upstream, why refused, how long it waited",
        options: [],
        examples: ["sequoiamux explain 5f0e1c2ab4"],
        run: explainRequest,
    },
];

async function listHosts(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const hosts = await context.operatorApi.call(client => client.hosts.query());
    context.output.printTable(hosts, [
        { title: "HOST", read: row => row.host },
        { title: "ZONE", read: row => row.zone },
        { title: "REVISION", read: row => row.revision },
        { title: "DRAINING", read: row => row.draining },
        { title: "PEERS AT", read: row => row.peerAddress },
        { title: "OPERATORS AT", read: row => row.adminAddress },
    ]);
}

async function drainHost([host]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    await context.entryApi.callOne(host, client => client.drain.mutate());
    context.output.printRecord({ host, state: "draining" }, [`${host}: draining`]);
}

async function stopHost([host]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    await context.entryApi.callOne(host, client => client.stop.mutate());
    context.output.printRecord({ host, state: "stopping" }, [`${host}: stopping once its requests are done`]);
}

async function listUpstreams(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const answers = await context.entryApi.callAll(client => client.upstreams.query());
    const rows = keepLatestRows(answers.flatMap(({ answer }) => answer));
    context.output.printTable(rows, [
        { title: "UPSTREAM", read: row => row.upstream },
        { title: "KIND", read: row => row.kind },
        { title: "POOLS", read: row => row.pools.join(",") },
        { title: "ZONE", read: row => row.zone },
        { title: "STATE", read: row => row.state },
        { title: "SOFTWARE", read: row => row.software },
        { title: "RUNNING", read: row => `${row.running}/${row.slots}` },
        { title: "QUEUED", read: row => row.queued },
        { title: "KV", read: row => row.kvUsed.toFixed(2) },
        { title: "TOKENS/S", read: row => Math.round(row.tokensPerSecond) },
        { title: "RECLAIMABLE", read: row => row.reclaimable },
        { title: "HEARD MS AGO", read: row => Math.round(row.heardMsAgo) },
        { title: "NOTE", read: row => row.note },
    ]);
}

/**
 * Keeps one row per upstream, from the entry that received its latest message: an upstream is listed by each entry that
 * received an announcement of it and by the owner of its queue.
 */
function keepLatestRows(rows: readonly UpstreamRow[]): UpstreamRow[] {
    const latest = new Map<string, UpstreamRow>();
    for (const row of rows) {
        const known = latest.get(row.upstream);
        if (!known || row.heardMsAgo < known.heardMsAgo) latest.set(row.upstream, row);
    }
    return [...latest.values()].sort((a, b) => a.upstream < b.upstream ? -1 : 1);
}

async function listQueues(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const rows = flattenRows(await context.entryApi.callAll(client => client.queues.query()));
    context.output.printTable(rows, [
        { title: "HOST", read: row => row.host },
        { title: "POOL", read: row => row.pool },
        { title: "TIER", read: row => row.tier },
        { title: "WORKSPACE", read: row => row.workspace },
        { title: "WAITING", read: row => row.waiting },
        { title: "OLDEST MS", read: row => Math.round(row.oldestMs) },
    ]);
}

async function listHistograms(_: readonly string[], options: CommandOptions, context: CommandContext): Promise<void> {
    const all = flattenRows(await context.entryApi.callAll(client => client.histograms.query()));
    const [workspace] = readTexts(options.workspace);
    const [className] = readTexts(options.class);
    const rows = all
        .filter(row => workspace === undefined || row.workspace === workspace)
        .filter(row => className === undefined || row.className === className);
    context.output.printTable(rows, [
        { title: "HOST", read: row => row.host },
        { title: "METRIC", read: row => row.metric },
        { title: "WORKSPACE", read: row => row.workspace },
        { title: "CLASS", read: row => row.className },
        { title: "COUNT", read: row => row.count },
        { title: "P50", read: row => row.p50 },
        { title: "P90", read: row => row.p90 },
        { title: "P99", read: row => row.p99 },
        { title: "MAX", read: row => row.max },
    ]);
}

async function explainRequest([request]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const [{ host, answer }] = await context.entryApi.callAll(client => client.explain.query(request));
    const outcome = answer.outcome ?? "running";
    context.output.printRecord({ host, ...answer }, [
        `request ${request} on ${host}: ${outcome}`,
        `workspace ${answer.workspace}, class ${answer.className} (tier ${answer.tier}), pool ${answer.pool}`,
        `arrived ${formatTime(answer.arrivedAt)}, waited ${formatMs(answer.waitedMs)}, `
        + `first token ${formatMs(answer.firstTokenMs)}, total ${formatMs(answer.totalMs)}`,
        `upstream ${answer.upstream ?? "none"}: ${answer.reason}`,
        ...answer.steps.map(step => `  ${formatMs(step.atMs)}  ${step.event}  ${step.detail}`),
    ]);
}

function formatMs(ms: number | undefined): string {
    return ms === undefined ? "-" : `${Math.round(ms)} ms`;
}

function flattenRows<Row>(
    answers: readonly EntryAnswer<readonly Row[]>[],
): readonly (Row & { readonly host: string; })[] {
    return answers.flatMap(({ host, answer }) => answer.map(row => ({ host, ...row })));
}
