import { SlopeBook } from "../slopeBook/index.js";
import { SlopeFile } from "../slopeFile/index.js";
import { formatNumber } from "./_lib/format.js";
import { formatSection } from "./_lib/section.js";
import { ASSUMED, BUDGET, NODE, SIZE } from "./_lib/size.js";
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

/** Where the page stands, from the repository's root. */
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
 * Writes the page of capacity from the raw figures.
 *
 * @throws RangeError when a slope is missing.
 */
export function formatComponentsPage(file: SlopeFile): string {
    const book = new SlopeBook(file);
    const sections = SECTIONS.map(describe => describe(book));
    const parts = [formatHead(file), formatTotals(sections), ...sections.map(formatSection), formatSlopes(book)];
    return `${parts.join("\n\n")}\n`;
}

function formatHead({ machine, slopes }: SlopeFile): string {
    const dates = [...new Set(slopes.map(slope => slope.date))].sort().join(", ");
    return `# Slopes of single components

This page is made by \`npm run slopes\` from the figures in \`bench/slopes.json\`; a test compares the two. It holds today's code,
measured on one machine, against the size that the users expect in about two years. Figures at that size are computed from
slopes, not measured; what today's code does not have is marked.

Measured on: ${machine.processor}, ${machine.cores} cores, ${machine.memoryGb} GB, Node ${machine.node}; ${dates}. Other work ran on the machine
at the same time, so that processor times scatter: see the spread in the last table.

**The size:** ${SIZE.nodes} nodes before ${formatNumber(SIZE.upstreams)} upstreams; ${
        formatNumber(SIZE.requestsPerSecond)
    } requests and ${formatNumber(SIZE.tokensPerSecond)} tokens a second;
${formatNumber(SIZE.workspaces)} workspaces, ${SIZE.models} models; ${SIZE.regions} regions with ${SIZE.zones} zones; ${
        formatNumber(SIZE.changesPerDay)
    } changes of configuration, ${SIZE.failuresPerDay} failures and
${SIZE.restartsPerDay} restarts a day. For one node that is ${formatNumber(NODE.requestsPerSecond)} requests, ${
        formatNumber(NODE.tokensPerSecond)
    } tokens and ${formatNumber(NODE.announcementsPerSecond)} announcements a second,
and ${formatNumber(NODE.openStreams)} open streams.

**The budgets** for control on a node: ${
        formatNumber(BUDGET.processorMsPerSecond)
    } ms of processor time a second (1.3 % of a core), 128 MB, ${formatNumber(BUDGET.bytesPerSecond)} B/s; at most
${SIZE.controlHosts} hosts set aside for control; a change in force within ${formatNumber(BUDGET.inForceMs)} ms.

**Taken for granted**, since the letter does not say: two announcements a second of each upstream with ${ASSUMED.cacheEvents} cache events; changes
in bursts of ${ASSUMED.changePeak} times the mean; ${ASSUMED.packetBytes} B of IP and TCP headers a packet; ${ASSUMED.linesPerWorkspace} usage lines for each workspace in a window
of ${ASSUMED.windowSeconds} s; one request in ${ASSUMED.callsOneIn} not repeatable; ${ASSUMED.regionRoundTripMs} ms between regions and back.`;
}

function formatSlopes(book: SlopeBook): string {
    const rows = book.file.slopes.map(({ id, points }) => {
        const sizes = points.map(point => formatNumber(point.x)).join(", ");
        const fit = book.tryFit(id);
        if (!fit) return `| \`${id}\` | ${sizes} | ${formatNumber(book.mean(id))} | | | |`;
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
