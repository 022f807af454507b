import { SlopeTable } from "../../slopeTable/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { formatVerdict, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMPTIONS, BUDGET, DERIVED_LOAD, TARGET_SIZE } from "../_lib/size.js";

/** Describes an entry's view of the configuration. */
export function describeView(slopes: SlopeTable): RoleSection {
    const heapBytes = slopes.predictAt("view.heap", TARGET_SIZE.workspaces);
    const baseBytes = slopes.mean("base.entry.resident");
    const fullViewBytes = slopes.predictAt("view.full.bytes", TARGET_SIZE.workspaces);
    const applyMs = slopes.predictAt("view.full.apply", TARGET_SIZE.workspaces);
    const changeMessageBytes = slopes.mean("view.change.bytes") + ASSUMPTIONS.packetBytes;
    const changeBytesPerSecond = DERIVED_LOAD.changesPerSecond * changeMessageBytes;
    const startBytesPerSecond = fullViewBytes * TARGET_SIZE.restartsPerDay / TARGET_SIZE.nodes
        / DERIVED_LOAD.secondsPerDay;
    return {
        title: "Entry: its view of the configuration",
        today:
            "Each entry holds all workspaces and the hashes of their keys, and keeps them fresh by a long poll to the holder. Equal profiles are kept once. Measured with two keys and seven classes for each workspace.",
        rows: [
            {
                subject: "memory of the view",
                arithmetic: `${formatNumber(slopes.perUnit("view.heap"))} B × ${
                    formatNumber(TARGET_SIZE.workspaces)
                } workspaces`,
                value: formatBytes(heapBytes),
                verdict: formatVerdict(heapBytes, BUDGET.memoryBytes),
            },
            {
                subject: "memory of the process before any request",
                arithmetic: `${formatBytes(baseBytes)} resident with the role's code + the view`,
                value: formatBytes(baseBytes + heapBytes),
                verdict: formatVerdict(baseBytes + heapBytes, BUDGET.memoryBytes),
            },
            {
                subject: "look-up of a key",
                arithmetic: `${formatNumber(slopes.mean("view.find"))} µs × ${
                    formatNumber(DERIVED_LOAD.requestsPerSecond)
                } requests a second`,
                value: formatProcessor(slopes.mean("view.find") * DERIVED_LOAD.requestsPerSecond / 1_000),
            },
            {
                subject: "changes, bytes",
                arithmetic: `${formatNumber(changeMessageBytes)} B × ${
                    formatNumber(DERIVED_LOAD.changesPerSecond)
                } a second; ${ASSUMPTIONS.changePeak} times that in a burst`,
                value: `${formatBytes(changeBytesPerSecond)}/s; ${
                    formatBytes(changeBytesPerSecond * ASSUMPTIONS.changePeak)
                }/s`,
                verdict: formatVerdict(changeBytesPerSecond * ASSUMPTIONS.changePeak, BUDGET.bytesPerSecond),
            },
            {
                subject: "changes, processor time",
                arithmetic: `${
                    formatNumber(slopes.mean("view.change.apply"))
                } µs each, whatever the number of workspaces`,
                value: formatProcessor(slopes.mean("view.change.apply") * DERIVED_LOAD.changesPerSecond / 1_000),
                verdict: formatVerdict(
                    slopes.mean("view.change.apply") * DERIVED_LOAD.changesPerSecond / 1_000,
                    BUDGET.processorMsPerSecond,
                ),
            },
            {
                subject: "the whole view at a start, bytes",
                arithmetic: `${formatNumber(slopes.perUnit("view.full.bytes"))} B × ${
                    formatNumber(TARGET_SIZE.workspaces)
                }; ${TARGET_SIZE.restartsPerDay} restarts a day over ${TARGET_SIZE.nodes} nodes`,
                value: `${formatBytes(fullViewBytes)} at once, ${formatBytes(startBytesPerSecond)}/s in the mean`,
                verdict: formatVerdict(startBytesPerSecond, BUDGET.bytesPerSecond),
            },
            {
                subject: "the whole view at a start, processor time",
                arithmetic: `${formatNumber(slopes.perUnit("view.full.apply") * 1_000)} µs × ${
                    formatNumber(TARGET_SIZE.workspaces)
                }, in one go`,
                value: `${formatNumber(applyMs)} ms`,
                verdict: `a peer calls silence after 2,000 ms: ${formatVerdict(applyMs, 2_000)}`,
            },
        ],
        loads: {
            today: {
                processorMs: slopes.mean("view.change.apply") * DERIVED_LOAD.changesPerSecond / 1_000,
                bytesPerSecond: changeBytesPerSecond + startBytesPerSecond,
            },
            designed: {
                processorMs: slopes.mean("view.change.apply") * DERIVED_LOAD.changesPerSecond / 1_000,
                bytesPerSecond: changeBytesPerSecond + startBytesPerSecond,
            },
        },
        designed: [
            `The whole view is one message of ${
                formatBytes(fullViewBytes)
            }: each profile (classes, pools, weight) stands in it once. Written out for each workspace it would be ${
                formatBytes(slopes.predictAt("view.plain.bytes", TARGET_SIZE.workspaces))
            }, as it was when these slopes were first taken. An entry takes it in before it serves callers. ${NOT_BUILT} It comes in pieces of a few hundred KB, between which the event loop runs; a zone relay (below) serves it within the zone.`,
            `The budget of 128 MB holds; most of it is the code of the process. ${NOT_BUILT} A still smaller form is a compact table: key hashes cut to 16 bytes in one sorted buffer with a workspace number of 4 (${
                formatBytes(2 * 20 * TARGET_SIZE.workspaces)
            }), and the workspaces' few own values in typed arrays beside their names (about 40 B, ${
                formatBytes(40 * TARGET_SIZE.workspaces)
            }).`,
        ],
    };
}
