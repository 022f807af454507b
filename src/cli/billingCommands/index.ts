import { UsageLine } from "../../protocol/index.js";
import { readRequiredWholeNumber } from "../_lib/readOptions.js";
import { CommandContext, CommandDefinition, CommandOptions } from "../commandDefinition/index.js";
import { formatTime } from "../output/index.js";

/** Commands that show orders and usage windows. */
export const billingCommands: readonly CommandDefinition[] = [
    {
        usage: "orders",
        description: "List the orders to the platform and to engines",
        options: [],
        examples: ["sequoiamux orders --json"],
        run: listOrders,
    },
    {
        usage: "windows",
        description: "List the usage windows",
        options: [],
        examples: ["sequoiamux windows"],
        run: listWindows,
    },
    {
        usage: "window show <start>",
        description: "Show one usage window's figures; <start> in milliseconds, as `windows` lists it",
        options: [],
        examples: ["sequoiamux window show 1796169600000"],
        run: showWindow,
    },
];

async function listOrders(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const orders = await context.operatorApi.call(client => client.orders.query());
    context.output.printTable(orders, [
        { title: "ORDER", read: row => row.orderId },
        { title: "TO", read: row => row.target.to === "engine" ? row.target.upstream : "platform" },
        { title: "ACTION", read: row => row.target.body.action },
        { title: "OUTCOME", read: row => row.outcome ?? "open" },
        { title: "INTENDED", read: row => formatTime(row.intendedAt) },
        { title: "FINISHED", read: row => formatTime(row.finishedAt) },
        { title: "UPSTREAMS", read: row => row.upstreams.join(",") },
        { title: "REASON", read: row => row.reason },
        { title: "DETAIL", read: row => row.detail },
    ]);
}

interface WindowRow {
    readonly window: number;
    readonly state: string;
    readonly reportId?: string;
    readonly reportedAt?: number;
    readonly workspaces: number;
    readonly requests: number;
    readonly tokens: number;
    readonly adjustments: number;
}

async function listWindows(_: readonly string[], _options: CommandOptions, context: CommandContext): Promise<void> {
    const { open, closed } = await context.operatorApi.call(client => client.windows.query());
    const rows: readonly WindowRow[] = [
        ...closed.map(window => ({
            window: window.window,
            state: window.reportedAt === undefined ? "closed" : "reported",
            reportId: window.reportId,
            reportedAt: window.reportedAt,
            ...sumLines(window.lines),
            adjustments: window.adjustments.length,
        })),
        ...open.map(window => ({
            window: window.window,
            state: "open",
            ...sumLines(window.lines),
            adjustments: window.adjustments.length,
        })),
    ];
    context.output.printTable(rows, [
        { title: "START", read: row => row.window },
        { title: "TIME", read: row => formatTime(row.window) },
        { title: "STATE", read: row => row.state },
        { title: "REPORT", read: row => row.reportId },
        { title: "REPORTED", read: row => formatTime(row.reportedAt) },
        { title: "WORKSPACES", read: row => row.workspaces },
        { title: "REQUESTS", read: row => row.requests },
        { title: "TOKENS", read: row => row.tokens },
        { title: "ADJUSTMENTS", read: row => row.adjustments },
    ]);
}

async function showWindow([start]: readonly string[], _: CommandOptions, context: CommandContext): Promise<void> {
    const window = await context.operatorApi.call(client =>
        client.window.query(readRequiredWholeNumber(start, "<start>"))
    );
    context.output.printTable(window.lines, [
        { title: "WORKSPACE", read: row => row.workspace },
        { title: "POOL", read: row => row.pool },
        { title: "CLASS", read: row => row.class },
        { title: "REQUESTS", read: row => row.requests },
        { title: "PROMPT", read: row => row.prompt_tokens },
        { title: "COMPLETION", read: row => row.completion_tokens },
    ]);
}

function sumLines(lines: readonly UsageLine[]): Pick<WindowRow, "workspaces" | "requests" | "tokens"> {
    return {
        workspaces: new Set(lines.map(line => line.workspace)).size,
        requests: lines.reduce((sum, line) => sum + line.requests, 0),
        tokens: lines.reduce((sum, line) => sum + line.prompt_tokens + line.completion_tokens, 0),
    };
}
