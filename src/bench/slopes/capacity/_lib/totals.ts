import { formatBytes, formatNumber } from "./format.js";
import { formatVerdict, NodeLoad, NodeLoads, RoleSection } from "./section.js";
import { BUDGET } from "./size.js";

interface TitledLoads extends NodeLoads {
    readonly title: string;
}

/** Formats the sum of all components' load on a node, in today's code and with the designed mechanisms. */
export function formatTotals(sections: readonly RoleSection[]): string {
    const titledLoads = sections.flatMap(({ title, loads }): TitledLoads[] => loads ? [{ title, ...loads }] : []);
    const rows = titledLoads.map(({ title, today, designed }) => formatRow(title, today, designed));
    const today = sumLoads(titledLoads.map(part => part.today));
    const designed = sumLoads(titledLoads.map(part => part.designed));
    return `## One node in all

Control on a node that is an entry, without the work of a pool's owner today and with that of one shard in the design. Tickets
and usage batches are counted as control, the stricter reading. What is under "designed" is **not in today's code**; its
figures are arithmetic from the slopes below.

| part | today, processor | today, bytes | designed, processor | designed, bytes |
| --- | --- | --- | --- | --- |
${rows.join("\n")}
${formatRow("**sum**", today, designed)}
| budget | ${formatVerdict(today.processorMs, BUDGET.processorMsPerSecond)} | ${
        formatVerdict(today.bytesPerSecond, BUDGET.bytesPerSecond)
    } | ${formatVerdict(designed.processorMs, BUDGET.processorMsPerSecond)} | ${
        formatVerdict(designed.bytesPerSecond, BUDGET.bytesPerSecond)
    } |`;
}

function formatRow(title: string, ...loads: readonly NodeLoad[]): string {
    const cells = loads.flatMap(({ processorMs, bytesPerSecond }) => [
        `${formatNumber(processorMs)} ms/s`,
        `${formatBytes(bytesPerSecond)}/s`,
    ]);
    return `| ${[title, ...cells].join(" | ")} |`;
}

function sumLoads(loads: readonly NodeLoad[]): NodeLoad {
    return {
        processorMs: loads.reduce((sum, load) => sum + load.processorMs, 0),
        bytesPerSecond: loads.reduce((sum, load) => sum + load.bytesPerSecond, 0),
    };
}
