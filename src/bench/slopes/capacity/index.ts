import { SlopeFile } from "../slopeFile/index.js";
import { SlopeTable } from "../slopeTable/index.js";
import { formatNumber } from "./_lib/format.js";
import { formatSection } from "./_lib/section.js";
import { ASSUMPTIONS, BUDGET, DERIVED_LOAD, TARGET_SIZE } from "./_lib/size.js";
import { formatTotals } from "./_lib/totals.js";
import { describeEvents } from "./roles/events.js";
import { describeOwner } from "./roles/owner.js";
import { describePeers } from "./roles/peers.js";
import { describeRelay } from "./roles/relay.js";
import { describeRequests } from "./roles/requests.js";
import { describeUpstreams } from "./roles/upstreams.js";
import { describeUsage } from "./roles/usage.js";
import { describeView } from "./roles/view.js";
import { describeVoter } from "./roles/voter.js";

/** Path of the page, relative to the repository's root. */
export const COMPONENTS_PAGE = "docs/COMPONENTS.md";

const SECTIONS = [
    describeView,
    describePeers,
    describeUpstreams,
    describeOwner,
    describeUsage,
    describeVoter,
    describeRelay,
    describeEvents,
    describeRequests,
] as const;

/**
 * Formats the page on the capacity of all components from the samples.
 *
 * @throws RangeError when a slope is missing.
 */
export function formatComponentsPage(file: SlopeFile): string {
    const slopes = new SlopeTable(file);
    const sections = SECTIONS.map(describe => describe(slopes));
    const blocks = [
        formatIntroduction(file),
        formatTotals(sections),
        ...sections.map(formatSection),
        formatSlopes(slopes),
    ];
    return `${blocks.join("\n\n")}\n`;
}

function formatIntroduction({ machine, slopes }: SlopeFile): string {
    const dates = [...new Set(slopes.map(slope => slope.date))].sort().join(", ");
    return `# Slopes of single components

This page is made by \`npm run slopes\` from the figures in \`bench/slopes.json\`; a test compares the two. It holds today's code,
measured on one machine, against the size that the users expect in about two years. Figures at that size are computed from
slopes, not measured; what today's code does not have is marked.

Measured on: ${machine.processor}, ${machine.cores} cores, ${machine.memoryGb} GB, Node ${machine.node}; ${dates}. Other work ran on the machine
at the same time, so that processor times scatter: see the spread in the last table.

**The size:** ${TARGET_SIZE.nodes} nodes before ${formatNumber(TARGET_SIZE.upstreams)} upstreams; ${
        formatNumber(TARGET_SIZE.requestsPerSecond)
    } requests and ${formatNumber(TARGET_SIZE.tokensPerSecond)} tokens a second;
${
        formatNumber(TARGET_SIZE.workspaces)
    } workspaces, ${TARGET_SIZE.models} models; ${TARGET_SIZE.regions} regions with ${TARGET_SIZE.zones} zones; ${
        formatNumber(TARGET_SIZE.changesPerDay)
    } changes of configuration, ${TARGET_SIZE.failuresPerDay} failures and
${TARGET_SIZE.restartsPerDay} restarts a day. For one node that is ${
        formatNumber(DERIVED_LOAD.requestsPerSecond)
    } requests, ${formatNumber(DERIVED_LOAD.tokensPerSecond)} tokens and ${
        formatNumber(DERIVED_LOAD.announcementsPerSecond)
    } announcements a second,
and ${formatNumber(DERIVED_LOAD.openStreams)} open streams.

**The budgets** for control on a node: ${
        formatNumber(BUDGET.processorMsPerSecond)
    } ms of processor time a second (1.3 % of a core), 128 MB, ${formatNumber(BUDGET.bytesPerSecond)} B/s; at most
${TARGET_SIZE.controlHosts} hosts set aside for control; a change in force within ${formatNumber(BUDGET.inForceMs)} ms.

**Taken for granted**, since the letter does not say: two announcements a second of each upstream with ${ASSUMPTIONS.cacheEvents} cache events; changes
in bursts of ${ASSUMPTIONS.changePeak} times the mean; ${ASSUMPTIONS.packetBytes} B of IP and TCP headers a packet; ${ASSUMPTIONS.linesPerWorkspace} usage lines for each workspace in a window
of ${ASSUMPTIONS.windowSeconds} s; one request in ${ASSUMPTIONS.callsOneIn} not repeatable; ${ASSUMPTIONS.regionRoundTripMs} ms between regions and back.`;
}

function formatSlopes(slopes: SlopeTable): string {
    const rows = slopes.file.slopes.map(({ id, points }) => {
        const sizes = points.map(point => formatNumber(point.x)).join(", ");
        const fit = slopes.tryFit(id);
        if (!fit) return `| \`${id}\` | ${sizes} | ${formatNumber(slopes.mean(id))} | | | |`;
        const { base, perUnit, standardError, rSquared } = fit;
        const figures = [base, perUnit, standardError].map(value => Number(value.toPrecision(3)).toString());
        return `| \`${id}\` | ${sizes} | ${figures.join(" | ")} | ${rSquared.toFixed(3)} |`;
    });
    return `## The slopes

Least squares over all samples. A low r² with a small slope means that the figure does not depend on the size. Units: bytes for
\`heap\`, \`bytes\` and \`resident\`; milliseconds a second for \`wire.*.processor\`, \`pulls.idle.processor\`, \`log.entry.processor\` and
\`entry.*.processor\`; milliseconds for \`full\`, \`snapshot\`, \`report\`, \`replay\`, \`load\` and \`pulls.change.processor\`; microseconds for the
rest. \`log.entry.processor\` is no straight line: at higher rates more entries share one sync.

| slope | sizes | base | for each unit | standard error | r² |
| --- | --- | --- | --- | --- | --- |
${rows.join("\n")}`;
}
