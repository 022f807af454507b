import { SlopeBook } from "../../slopeBook/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { judge, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMED, BUDGET, NODE, SIZE } from "../_lib/size.js";

const CONTROL_LINKS = 3;
const PINGS_PER_SECOND = 2;
/** The holder lets a pull wait for a third of the freshness lease. */
const PULLS_PER_SECOND = 1;
const DIRECTIONS = 2;
/** A pull and its answer without what the hello has told already (reckoned). */
const SHORT_PULL_BYTES = 60;
/** One ping in 2 s instead of two a second. */
const SLOWER = 4;

/** An entry among its peers: links, heartbeats, pulls and the list of entries. */
export function describePeers(book: SlopeBook): RoleSection {
    const links = CONTROL_LINKS + 2 * SIZE.models + 1;
    const perLink = book.perUnit("wire.link.processor");
    const pingBytes = PINGS_PER_SECOND * DIRECTIONS
        * (book.perUnit("wire.link.bytes") / PINGS_PER_SECOND + ASSUMED.packetBytes);
    const pullBytes = PULLS_PER_SECOND * (book.mean("pulls.idle.bytes") + 2 * DIRECTIONS * ASSUMED.packetBytes);
    const shortPullBytes = PULLS_PER_SECOND * (SHORT_PULL_BYTES + 2 * DIRECTIONS * ASSUMED.packetBytes);
    const list = book.at("pulls.list.bytes", SIZE.nodes);
    const listBytes = list * NODE.listChangesPerDay / NODE.secondsPerDay;
    const slowPings = pingBytes / SLOWER * (CONTROL_LINKS + SIZE.models);
    const pullMs = 2 * book.mean("wire.call.processor") * PULLS_PER_SECOND / 1_000;
    return {
        title: "Entry: its peers",
        today:
            `Links between own processes open on first use. At the letter's size an entry has one to each control host (${CONTROL_LINKS} here), to the owner and the next owner of each pool of its region, and to the entry that holds its usage batches. No entry has a link to each other.`,
        rows: [
            {
                what: "idle links, processor time",
                arithmetic: `${formatNumber(perLink)} ms/s × ${links} links`,
                value: formatProcessor(perLink * links),
                verdict: judge(perLink * links, BUDGET.processorMsPerSecond),
            },
            {
                what: "idle links, bytes both ways",
                arithmetic:
                    `${PINGS_PER_SECOND} pings a second each way, 8 B and ${ASSUMED.packetBytes} B of headers, × ${links} links`,
                value: `${formatBytes(pingBytes * links)}/s`,
                verdict: judge(pingBytes * links, BUDGET.bytesPerSecond),
            },
            {
                what: "idle links, memory",
                arithmetic: `${formatNumber(book.perUnit("wire.link.heap"))} B × ${links}`,
                value: formatBytes(book.perUnit("wire.link.heap") * links),
                verdict: judge(book.perUnit("wire.link.heap") * links, BUDGET.memoryBytes),
            },
            {
                what: "the same with a link to each entry",
                arithmetic: `${formatNumber(perLink)} ms/s × ${SIZE.nodes}; ${
                    formatNumber(pingBytes)
                } B/s × ${SIZE.nodes}`,
                value: `${formatProcessor(perLink * SIZE.nodes)}, ${formatBytes(pingBytes * SIZE.nodes)}/s`,
                verdict: `${judge(pingBytes * SIZE.nodes, BUDGET.bytesPerSecond)}; this is why there is no such mesh`,
            },
            {
                what: "pulls of the view without news",
                arithmetic: `${formatNumber(book.mean("pulls.idle.bytes"))} B and packets, once a second`,
                value: `${formatBytes(pullBytes)}/s, ${formatProcessor(pullMs)}`,
                verdict: judge(pullBytes, BUDGET.bytesPerSecond),
            },
            {
                what: "the list of entries at each of its changes",
                arithmetic: `${
                    formatNumber(book.perUnit("pulls.list.bytes"))
                } B × ${SIZE.nodes} entries × ${NODE.listChangesPerDay} changes a day`,
                value: `${formatBytes(list)} at once, ${formatBytes(listBytes)}/s in the mean`,
                verdict: judge(listBytes, BUDGET.bytesPerSecond),
            },
        ],
        loads: {
            today: {
                processorMs: perLink * links + pullMs,
                bytesPerSecond: pingBytes * links + pullBytes + listBytes,
            },
            next: {
                processorMs: perLink * (CONTROL_LINKS + SIZE.models) + pullMs,
                bytesPerSecond: slowPings + shortPullBytes + listBytes / SIZE.nodes,
            },
        },
        next: [
            `**The pings break the budget** although the links are few. ${NOT_BUILT} An idle link closes after 10 s, which leaves the control links and those in use, and a link in use sends no pings; one ping in 2 s on the rest makes ${
                formatBytes(slowPings)
            }/s. A pull repeats what the hello has told; without host, incarnation, zone and addresses it takes about ${SHORT_PULL_BYTES} B with its answer, ${
                formatBytes(shortPullBytes)
            }/s with packets.`,
            `**The list of entries grows with hosts × hosts**: each change of one entry sends all ${SIZE.nodes} to each of ${SIZE.nodes}, ${
                formatBytes(list * SIZE.nodes)
            } from the holder. The mean is small; the loss of a zone (${
                Math.round(SIZE.nodes / SIZE.zones)
            } entries) within one second is not. ${NOT_BUILT} The answer to a pull carries the changed rows since \`entriesVersion\` alone: ${
                formatNumber(book.perUnit("pulls.list.bytes"))
            } B for each, and an entry needs only those of its own region.`,
        ],
    };
}
