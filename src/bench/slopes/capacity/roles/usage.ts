import { SlopeTable } from "../../slopeTable/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { formatVerdict, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMPTIONS, BUDGET, DERIVED_LOAD, TARGET_SIZE } from "../_lib/size.js";

const KEPT_WINDOWS = 8;
const COMPACT_LINE_BYTES = 14;
const BATCH_INTERVAL_S = 10;
const RELEASE_BYTES = 100;
/** A hold, a batch to the holder and a release. */
const MESSAGES_PER_REQUEST = 3;

/** Describes the usage meter of an entry, and the usage in the replicated state. */
export function describeUsage(slopes: SlopeTable): RoleSection {
    const batchBytes = slopes.predictAt("usage.batch.bytes", 1);
    const meterBytesPerSecond = DERIVED_LOAD.requestsPerSecond
        * (2 * batchBytes + RELEASE_BYTES + 5 * ASSUMPTIONS.packetBytes);
    const messageMs = slopes.mean("wire.call.processor") / 1_000;
    const applyMs = slopes.meanAtSmallestSize("usage.batch.apply") / 1_000;
    const logEntryMs = slopes.meanAtLargestSize("log.entry.processor") / slopes.largestSize("log.entry.processor");
    const holderMsPerSecond = TARGET_SIZE.requestsPerSecond * (applyMs + logEntryMs);
    const lines = TARGET_SIZE.workspaces * ASSUMPTIONS.linesPerWorkspace;
    const windowHeapBytes = slopes.perUnit("usage.window.heap") * lines;
    const windows = 2 + KEPT_WINDOWS;
    const batchesPerSecond = TARGET_SIZE.nodes / BATCH_INTERVAL_S;
    const compactMsPerSecond = batchesPerSecond * logEntryMs
        + TARGET_SIZE.requestsPerSecond * slopes.perUnit("usage.batch.apply") / 1_000;
    const compactBytesPerSecond = DERIVED_LOAD.requestsPerSecond * (COMPACT_LINE_BYTES + ASSUMPTIONS.packetBytes)
        + DERIVED_LOAD.requestsPerSecond * COMPACT_LINE_BYTES;
    return {
        title: "Usage: meters of entries, windows of voters",
        today:
            "Each finished request closes a batch (those that finish meanwhile share the next one); another entry holds it before the caller sees the last event, and it goes into the control log as one entry. At the letter's size nearly each request makes a batch of its own.",
        rows: [
            {
                subject: "an entry's batches, bytes",
                arithmetic: `${formatNumber(DERIVED_LOAD.requestsPerSecond)} a second, ${
                    formatNumber(batchBytes)
                } B to the peer and to the holder, a release, packets`,
                value: `${formatBytes(meterBytesPerSecond)}/s`,
                verdict: formatVerdict(meterBytesPerSecond, BUDGET.bytesPerSecond),
            },
            {
                subject: "batches in one control log",
                arithmetic: `${formatNumber(TARGET_SIZE.requestsPerSecond)} a second × (${
                    formatNumber(logEntryMs)
                } ms for each voter at ${formatNumber(slopes.largestSize("log.entry.processor"))} a second + ${
                    formatNumber(applyMs)
                } ms to apply)`,
                value: formatProcessor(holderMsPerSecond),
                verdict: `${formatVerdict(holderMsPerSecond, 1_000)} of one core: a voter has one event loop`,
            },
            {
                subject: "lines of the windows that are kept",
                arithmetic: `${formatNumber(slopes.perUnit("usage.window.heap"))} B × ${
                    formatNumber(lines)
                } lines (${ASSUMPTIONS.linesPerWorkspace} for each workspace) × ${windows} windows of ${ASSUMPTIONS.windowSeconds} s`,
                value: formatBytes(windowHeapBytes * windows),
                verdict: formatVerdict(windowHeapBytes * windows, BUDGET.memoryBytes),
            },
            {
                subject: "a report",
                arithmetic: `${formatNumber(slopes.perUnit("usage.window.bytes"))} B in the state and ${
                    formatNumber(slopes.perUnit("usage.window.report") * 1_000)
                } µs of JSON × ${formatNumber(lines)} lines, in one go`,
                value: `${formatNumber(slopes.predictAt("usage.window.report", lines))} ms`,
            },
        ],
        loads: {
            today: {
                processorMs: DERIVED_LOAD.requestsPerSecond * MESSAGES_PER_REQUEST * messageMs,
                bytesPerSecond: meterBytesPerSecond,
            },
            designed: {
                processorMs: DERIVED_LOAD.requestsPerSecond * messageMs,
                bytesPerSecond: compactBytesPerSecond,
            },
        },
        designed: [
            `**Batches break both budgets.** ${NOT_BUILT} A line between hosts is numbers (workspace, pool, class, three counts: ${COMPACT_LINE_BYTES} B). The peer still gets one for each request before its last event; the log gets one batch in ${BATCH_INTERVAL_S} s from each entry: ${
                formatNumber(batchesPerSecond)
            } entries a second instead of ${formatNumber(TARGET_SIZE.requestsPerSecond)}, ${
                formatProcessor(compactMsPerSecond)
            } in the log, most of it for applying lines, and ${
                formatBytes(compactBytesPerSecond)
            }/s for an entry. Zone relays that sum the batches of a zone's entries take the number of log entries to ${
                formatNumber(TARGET_SIZE.zones / BATCH_INTERVAL_S)
            } a second.`,
            `**The kept windows break the memory.** ${NOT_BUILT} A reported window keeps its totals and a digest; its lines go into a file of the data folder. With one reported window kept beside the open and the closed one, ${
                formatBytes(windowHeapBytes * 3)
            } stay. The usage log splits by workspace hash over three groups of voters on the ${TARGET_SIZE.controlHosts} control hosts: a third of each figure for each host.`,
        ],
    };
}
