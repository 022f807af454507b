import { SlopeBook } from "../../slopeBook/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { judge, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMED, BUDGET, NODE, SIZE } from "../_lib/size.js";

const KEPT_WINDOWS = 8;
const COMPACT_LINE_BYTES = 14;
const BATCH_SECONDS = 10;
const RELEASE_BYTES = 100;
/** Hold, hand in and release. */
const MESSAGES_EACH = 3;

/** The usage meter of an entry, and the usage in the replicated state. */
export function describeUsage(book: SlopeBook): RoleSection {
    const batch = book.at("usage.batch.bytes", 1);
    const meterBytes = NODE.requestsPerSecond * (2 * batch + RELEASE_BYTES + 5 * ASSUMED.packetBytes);
    const wire = book.mean("wire.call.processor") / 1_000;
    const applyMs = book.first("usage.batch.apply") / 1_000;
    const entryMs = book.last("log.entry.processor") / book.largest("log.entry.processor");
    const holderMs = SIZE.requestsPerSecond * (applyMs + entryMs);
    const lines = SIZE.workspaces * ASSUMED.linesPerWorkspace;
    const windowHeap = book.perUnit("usage.window.heap") * lines;
    const windows = 2 + KEPT_WINDOWS;
    const batches = SIZE.nodes / BATCH_SECONDS;
    const compactMs = batches * entryMs + SIZE.requestsPerSecond * book.perUnit("usage.batch.apply") / 1_000;
    const compactBytes = NODE.requestsPerSecond * (COMPACT_LINE_BYTES + ASSUMED.packetBytes)
        + NODE.requestsPerSecond * COMPACT_LINE_BYTES;
    return {
        title: "Usage: meters of entries, windows of voters",
        today:
            "Each finished request closes a batch (those that finish meanwhile share the next one); another entry holds it before the caller sees the last event, and it goes into the control log as one entry. At the letter's size nearly each request makes a batch of its own.",
        rows: [
            {
                what: "an entry's batches, bytes",
                arithmetic: `${formatNumber(NODE.requestsPerSecond)} a second, ${
                    formatNumber(batch)
                } B to the peer and to the holder, a release, packets`,
                value: `${formatBytes(meterBytes)}/s`,
                verdict: judge(meterBytes, BUDGET.bytesPerSecond),
            },
            {
                what: "batches in one control log",
                arithmetic: `${formatNumber(SIZE.requestsPerSecond)} a second × (${
                    formatNumber(entryMs)
                } ms for each voter at ${formatNumber(book.largest("log.entry.processor"))} a second + ${
                    formatNumber(applyMs)
                } ms to apply)`,
                value: formatProcessor(holderMs),
                verdict: `${judge(holderMs, 1_000)} of one core: a voter has one event loop`,
            },
            {
                what: "lines of the windows that are kept",
                arithmetic: `${formatNumber(book.perUnit("usage.window.heap"))} B × ${
                    formatNumber(lines)
                } lines (${ASSUMED.linesPerWorkspace} for each workspace) × ${windows} windows of ${ASSUMED.windowSeconds} s`,
                value: formatBytes(windowHeap * windows),
                verdict: judge(windowHeap * windows, BUDGET.memoryBytes),
            },
            {
                what: "a report",
                arithmetic: `${formatNumber(book.perUnit("usage.window.bytes"))} B in the state and ${
                    formatNumber(book.perUnit("usage.window.report") * 1_000)
                } µs of JSON × ${formatNumber(lines)} lines, in one go`,
                value: `${formatNumber(book.at("usage.window.report", lines))} ms`,
            },
        ],
        loads: {
            today: { processorMs: NODE.requestsPerSecond * MESSAGES_EACH * wire, bytesPerSecond: meterBytes },
            next: { processorMs: NODE.requestsPerSecond * wire, bytesPerSecond: compactBytes },
        },
        next: [
            `**Batches break both budgets.** ${NOT_BUILT} A line between hosts is numbers (workspace, pool, class, three counts: ${COMPACT_LINE_BYTES} B). The peer still gets one for each request before its last event; the log gets one batch in ${BATCH_SECONDS} s from each entry: ${
                formatNumber(batches)
            } entries a second instead of ${formatNumber(SIZE.requestsPerSecond)}, ${
                formatProcessor(compactMs)
            } in the log, most of it for applying lines, and ${
                formatBytes(compactBytes)
            }/s for an entry. Zone relays that sum the batches of a zone's entries take the number of log entries to ${
                formatNumber(SIZE.zones / BATCH_SECONDS)
            } a second.`,
            `**The kept windows break the memory.** ${NOT_BUILT} A reported window keeps its totals and a digest; its lines go into a file of the data folder. With one reported window kept beside the open and the closed one, ${
                formatBytes(windowHeap * 3)
            } stay. The usage log splits by workspace hash over three groups of voters on the ${SIZE.controlHosts} control hosts: a third of each figure for each host.`,
        ],
    };
}
