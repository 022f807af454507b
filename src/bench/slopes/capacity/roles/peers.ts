import { SlopeTable } from "../../slopeTable/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { formatVerdict, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMPTIONS, BUDGET, DERIVED_LOAD, TARGET_SIZE } from "../_lib/size.js";

const CONTROL_LINKS = 3;
const PINGS_PER_SECOND = 2;
/** The holder keeps a pull open for a third of the freshness lease. */
const PULLS_PER_SECOND = 1;
const DIRECTIONS = 2;
/** Computed size of a pull and its reply without the fields that the hello has already sent. */
const SHORT_PULL_BYTES = 60;
/** One ping every 2 s instead of two per second. */
const PING_SLOWDOWN = 4;

/** Describes an entry's traffic with its peers: links, heartbeats, pulls and the list of entries. */
export function describePeers(slopes: SlopeTable): RoleSection {
    const linkCount = CONTROL_LINKS + 2 * TARGET_SIZE.models + 1;
    const msPerSecondPerLink = slopes.perUnit("wire.link.processor");
    const pingBytesPerSecond = PINGS_PER_SECOND * DIRECTIONS
        * (slopes.perUnit("wire.link.bytes") / PINGS_PER_SECOND + ASSUMPTIONS.packetBytes);
    const pullBytesPerSecond = PULLS_PER_SECOND
        * (slopes.mean("pulls.idle.bytes") + 2 * DIRECTIONS * ASSUMPTIONS.packetBytes);
    const shortPullBytesPerSecond = PULLS_PER_SECOND * (SHORT_PULL_BYTES + 2 * DIRECTIONS * ASSUMPTIONS.packetBytes);
    const listBytes = slopes.predictAt("pulls.list.bytes", TARGET_SIZE.nodes);
    const listBytesPerSecond = listBytes * DERIVED_LOAD.listChangesPerDay / DERIVED_LOAD.secondsPerDay;
    const slowPingBytesPerSecond = pingBytesPerSecond / PING_SLOWDOWN * (CONTROL_LINKS + TARGET_SIZE.models);
    const pullMsPerSecond = 2 * slopes.mean("wire.call.processor") * PULLS_PER_SECOND / 1_000;
    return {
        title: "Entry: its peers",
        today:
            `Links between own processes open on first use. At the letter's size an entry has one to each control host (${CONTROL_LINKS} here), to the owner and the next owner of each pool of its region, and to the entry that holds its usage batches. No entry has a link to each other.`,
        rows: [
            {
                subject: "idle links, processor time",
                arithmetic: `${formatNumber(msPerSecondPerLink)} ms/s × ${linkCount} links`,
                value: formatProcessor(msPerSecondPerLink * linkCount),
                verdict: formatVerdict(msPerSecondPerLink * linkCount, BUDGET.processorMsPerSecond),
            },
            {
                subject: "idle links, bytes both ways",
                arithmetic:
                    `${PINGS_PER_SECOND} pings a second each way, 8 B and ${ASSUMPTIONS.packetBytes} B of headers, × ${linkCount} links`,
                value: `${formatBytes(pingBytesPerSecond * linkCount)}/s`,
                verdict: formatVerdict(pingBytesPerSecond * linkCount, BUDGET.bytesPerSecond),
            },
            {
                subject: "idle links, memory",
                arithmetic: `${formatNumber(slopes.perUnit("wire.link.heap"))} B × ${linkCount}`,
                value: formatBytes(slopes.perUnit("wire.link.heap") * linkCount),
                verdict: formatVerdict(slopes.perUnit("wire.link.heap") * linkCount, BUDGET.memoryBytes),
            },
            {
                subject: "the same with a link to each entry",
                arithmetic: `${formatNumber(msPerSecondPerLink)} ms/s × ${TARGET_SIZE.nodes}; ${
                    formatNumber(pingBytesPerSecond)
                } B/s × ${TARGET_SIZE.nodes}`,
                value: `${formatProcessor(msPerSecondPerLink * TARGET_SIZE.nodes)}, ${
                    formatBytes(pingBytesPerSecond * TARGET_SIZE.nodes)
                }/s`,
                verdict: `${
                    formatVerdict(pingBytesPerSecond * TARGET_SIZE.nodes, BUDGET.bytesPerSecond)
                }; this is why there is no such mesh`,
            },
            {
                subject: "pulls of the view without news",
                arithmetic: `${formatNumber(slopes.mean("pulls.idle.bytes"))} B and packets, once a second`,
                value: `${formatBytes(pullBytesPerSecond)}/s, ${formatProcessor(pullMsPerSecond)}`,
                verdict: formatVerdict(pullBytesPerSecond, BUDGET.bytesPerSecond),
            },
            {
                subject: "the list of entries at each of its changes",
                arithmetic: `${
                    formatNumber(slopes.perUnit("pulls.list.bytes"))
                } B × ${TARGET_SIZE.nodes} entries × ${DERIVED_LOAD.listChangesPerDay} changes a day`,
                value: `${formatBytes(listBytes)} at once, ${formatBytes(listBytesPerSecond)}/s in the mean`,
                verdict: formatVerdict(listBytesPerSecond, BUDGET.bytesPerSecond),
            },
        ],
        loads: {
            today: {
                processorMs: msPerSecondPerLink * linkCount + pullMsPerSecond,
                bytesPerSecond: pingBytesPerSecond * linkCount + pullBytesPerSecond + listBytesPerSecond,
            },
            designed: {
                processorMs: msPerSecondPerLink * (CONTROL_LINKS + TARGET_SIZE.models) + pullMsPerSecond,
                bytesPerSecond: slowPingBytesPerSecond + shortPullBytesPerSecond
                    + listBytesPerSecond / TARGET_SIZE.nodes,
            },
        },
        designed: [
            `**The pings break the budget** although the links are few. ${NOT_BUILT} An idle link closes after 10 s, which leaves the control links and those in use, and a link in use sends no pings; one ping in 2 s on the rest makes ${
                formatBytes(slowPingBytesPerSecond)
            }/s. A pull repeats what the hello has told; without host, incarnation, zone and addresses it takes about ${SHORT_PULL_BYTES} B with its answer, ${
                formatBytes(shortPullBytesPerSecond)
            }/s with packets.`,
            `**The list of entries grows with hosts × hosts**: each change of one entry sends all ${TARGET_SIZE.nodes} to each of ${TARGET_SIZE.nodes}, ${
                formatBytes(listBytes * TARGET_SIZE.nodes)
            } from the holder. The mean is small; the loss of a zone (${
                Math.round(TARGET_SIZE.nodes / TARGET_SIZE.zones)
            } entries) within one second is not. ${NOT_BUILT} The answer to a pull carries the changed rows since \`entriesVersion\` alone: ${
                formatNumber(slopes.perUnit("pulls.list.bytes"))
            } B for each, and an entry needs only those of its own region.`,
        ],
    };
}
