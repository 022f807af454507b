import { formatBytes, formatNumber } from "./format.js";
import { judge, NodeLoad, NodeLoads, RoleSection } from "./section.js";
import { BUDGET } from "./size.js";

interface TitledLoads extends NodeLoads {
    readonly title: string;
}

/** Sums what the parts cost each node, today and with the mechanisms that this page names. */
export function formatTotals(sections: readonly RoleSection[]): string {
    const parts = sections.flatMap(({ title, loads }): TitledLoads[] => loads ? [{ title, ...loads }] : []);
    const rows = parts.map(({ title, today, next }) => formatRow(title, today, next));
    const today = addUp(parts.map(part => part.today));
    const next = addUp(parts.map(part => part.next));
    return `## One node in all

Control on a node that is an entry, without the work of a pool's owner today and with that of one shard in the design. Tickets
and usage batches are counted as control, the stricter reading. What is under "designed" is **not in today's code**; its
figures are arithmetic from the slopes below.

| part | today, processor | today, bytes | designed, processor | designed, bytes |
| --- | --- | --- | --- | --- |
${rows.join("\n")}
${formatRow("**sum**", today, next)}
| budget | ${judge(today.processorMs, BUDGET.processorMsPerSecond)} | ${
        judge(today.bytesPerSecond, BUDGET.bytesPerSecond)
    } | ${judge(next.processorMs, BUDGET.processorMsPerSecond)} | ${
        judge(next.bytesPerSecond, BUDGET.bytesPerSecond)
    } |`;
}

function formatRow(title: string, ...loads: readonly NodeLoad[]): string {
    const cells = loads.flatMap(({ processorMs, bytesPerSecond }) => [
        `${formatNumber(processorMs)} ms/s`,
        `${formatBytes(bytesPerSecond)}/s`,
    ]);
    return `| ${[title, ...cells].join(" | ")} |`;
}

function addUp(loads: readonly NodeLoad[]): NodeLoad {
    return {
        processorMs: loads.reduce((sum, load) => sum + load.processorMs, 0),
        bytesPerSecond: loads.reduce((sum, load) => sum + load.bytesPerSecond, 0),
    };
}
