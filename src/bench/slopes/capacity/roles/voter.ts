import { SlopeTable } from "../../slopeTable/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { formatVerdict, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMPTIONS, BUDGET, DERIVED_LOAD, TARGET_SIZE } from "../_lib/size.js";

const SNAPSHOT_ENTRIES = 20_000;
const VOTER_GROUPS = 3;

/** Describes a control voter and the additional work of the holder. */
export function describeVoter(slopes: SlopeTable): RoleSection {
    const heapBytes = slopes.predictAt("state.heap", TARGET_SIZE.workspaces);
    const baseBytes = slopes.mean("base.control.resident");
    const snapshotBytes = slopes.predictAt("state.snapshot.bytes", TARGET_SIZE.workspaces);
    const encodeMs = slopes.predictAt("state.snapshot.encode", TARGET_SIZE.workspaces);
    const linkMsPerSecond = slopes.predictAt("wire.link.processor", TARGET_SIZE.nodes);
    const pullMsPerSecond = slopes.meanAtLargestSize("pulls.idle.processor");
    const changeMs = slopes.predictAt("pulls.change.processor", TARGET_SIZE.nodes);
    const callsPerSecond = TARGET_SIZE.requestsPerSecond / ASSUMPTIONS.callsOneIn;
    const recordCount = callsPerSecond * ASSUMPTIONS.callRetentionSeconds;
    return {
        title: "Control voter and holder",
        today:
            "Each control host keeps the whole state in memory and a log with snapshots on disk. The holder also answers the entries' pulls. Control hosts may be set aside, so the budget of 1.3 % of a core is that of other nodes; a voter's bound is its one event loop.",
        rows: [
            {
                subject: "templates, workspaces and keys, memory",
                arithmetic: `${formatNumber(slopes.perUnit("state.heap"))} B × ${
                    formatNumber(TARGET_SIZE.workspaces)
                } and a base`,
                value: formatBytes(heapBytes),
                verdict: formatVerdict(heapBytes, BUDGET.memoryBytes),
            },
            {
                subject: "with the code of the process",
                arithmetic: `+ ${formatBytes(baseBytes)} resident`,
                value: formatBytes(baseBytes + heapBytes),
                verdict: formatVerdict(baseBytes + heapBytes, BUDGET.memoryBytes),
            },
            {
                subject: "a snapshot",
                arithmetic: `${formatNumber(slopes.perUnit("state.snapshot.bytes"))} B × ${
                    formatNumber(TARGET_SIZE.workspaces)
                } and a base, encoded in one go`,
                value: `${formatBytes(snapshotBytes)}, ${formatNumber(encodeMs)} ms`,
                verdict: `must stay well below \`election_ms\` (1,000): ${encodeMs < 500 ? "fits" : "**breaks it**"}`,
            },
            {
                subject: "a start from a snapshot",
                arithmetic: `${formatNumber(slopes.perUnit("state.snapshot.restore") * 1_000)} µs × ${
                    formatNumber(TARGET_SIZE.workspaces)
                }, and ${formatNumber(slopes.perUnit("log.replay"))} ms for each entry after it`,
                value: `${formatNumber(slopes.predictAt("state.snapshot.restore", TARGET_SIZE.workspaces))} ms, and ${
                    formatNumber(slopes.perUnit("log.replay") * SNAPSHOT_ENTRIES)
                } ms for ${formatNumber(SNAPSHOT_ENTRIES)} entries`,
            },
            {
                subject: "a change of the configuration, applied",
                arithmetic: "does not grow with the number of workspaces",
                value: `${formatNumber(slopes.mean("state.change.apply"))} µs`,
            },
            {
                subject: "links to all entries, idle",
                arithmetic: `${
                    formatNumber(slopes.perUnit("wire.link.processor"))
                } ms/s × ${TARGET_SIZE.nodes} and a base`,
                value: formatProcessor(linkMsPerSecond),
            },
            {
                subject: "pulls of all entries, idle",
                arithmetic: `measured with ${
                    formatNumber(slopes.largestSize("pulls.idle.processor"))
                } entries, each once a second; both ends' encoding counted`,
                value: formatProcessor(pullMsPerSecond),
            },
            {
                subject: "a change to all entries",
                arithmetic: `${formatNumber(slopes.perUnit("pulls.change.processor"))} ms × ${TARGET_SIZE.nodes}, ${
                    formatNumber(DERIVED_LOAD.changesPerSecond)
                } a second, ${ASSUMPTIONS.changePeak} times that in a burst`,
                value: `${formatNumber(changeMs)} ms; ${formatProcessor(changeMs * DERIVED_LOAD.changesPerSecond)}, ${
                    formatProcessor(changeMs * DERIVED_LOAD.changesPerSecond * ASSUMPTIONS.changePeak)
                }`,
            },
            {
                subject: "call records of one day",
                arithmetic: `one request in ${ASSUMPTIONS.callsOneIn} (taken for granted): ${
                    formatNumber(callsPerSecond)
                } a second, ${formatNumber(slopes.perUnit("ledger.heap"))} B each with an answer of 200 B, kept a day`,
                value: formatBytes(recordCount * slopes.perUnit("ledger.heap")),
                verdict: formatVerdict(recordCount * slopes.perUnit("ledger.heap"), BUDGET.memoryBytes),
            },
        ],
        designed: [
            `A change reaches all entries through one process: ${
                formatNumber(changeMs)
            } ms of its event loop. That is below the limit of ${
                formatNumber(BUDGET.inForceMs)
            } ms and grows with hosts alone. ${NOT_BUILT} With ${TARGET_SIZE.zones} zone relays the holder serves ${TARGET_SIZE.zones} pulls instead of ${TARGET_SIZE.nodes}: ${
                formatNumber(slopes.perUnit("pulls.change.processor") * TARGET_SIZE.zones)
            } ms.`,
            `Idle pulls grow faster than hosts: each answer lists all entries before it finds the list unchanged. ${NOT_BUILT} The version is compared first; then the cost is by hosts alone. A burst of changes was measured with 200 entries: ${
                formatNumber(slopes.perUnit("pulls.rate.processor"))
            } ms/s for each change a second.`,
            `Past 32 MB of kept answers the oldest is found in a list of its own: a call takes ${
                formatNumber(slopes.meanAtSmallestSize("ledger.full.call"))
            } µs with ${formatNumber(slopes.smallestSize("ledger.full.call"))} records and ${
                formatNumber(slopes.meanAtLargestSize("ledger.full.call"))
            } µs with ${formatNumber(slopes.largestSize("ledger.full.call"))}, against ${
                formatNumber(slopes.mean("ledger.call"))
            } µs below that. Before that list it took 2,604 µs with 40,000 records (measured on 3 December 2026, busy machine).`,
            `**Call records break the memory** by far. ${NOT_BUILT} They leave the control log for a ledger of their own, split by workspace hash over ${VOTER_GROUPS} groups on the ${TARGET_SIZE.controlHosts} control hosts, with records on disk and an index of 24 B for each in memory, kept for one hour in memory and for the rest of the day on disk: ${
                formatBytes(24 * callsPerSecond * 3_600 / VOTER_GROUPS)
            } for each host. ${
                formatNumber(callsPerSecond / VOTER_GROUPS)
            } records a second and group, two entries each, at ${
                formatNumber(
                    slopes.meanAtLargestSize("log.entry.processor") / slopes.largestSize("log.entry.processor"),
                )
            } ms: ${
                formatProcessor(
                    2 * callsPerSecond / VOTER_GROUPS * slopes.meanAtLargestSize("log.entry.processor")
                        / slopes.largestSize("log.entry.processor"),
                )
            }.`,
            `A snapshot is encoded in one go, while no heartbeat leaves. ${NOT_BUILT} It is written in pieces of a few thousand records with the event loop running between them, from a copy-on-write view of the maps.`,
        ],
    };
}
