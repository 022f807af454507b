import { SlopeBook } from "../../slopeBook/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { judge, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMED, BUDGET, NODE, SIZE } from "../_lib/size.js";

const SNAPSHOT_ENTRIES = 20_000;
const GROUPS = 3;

/** A control voter, and what its holder does besides. */
export function describeVoter(book: SlopeBook): RoleSection {
    const heap = book.at("state.heap", SIZE.workspaces);
    const base = book.mean("base.control.resident");
    const snapshot = book.at("state.snapshot.bytes", SIZE.workspaces);
    const encode = book.at("state.snapshot.encode", SIZE.workspaces);
    const links = book.at("wire.link.processor", SIZE.nodes);
    const pulls = book.last("pulls.idle.processor");
    const change = book.at("pulls.change.processor", SIZE.nodes);
    const calls = SIZE.requestsPerSecond / ASSUMED.callsOneIn;
    const records = calls * ASSUMED.callRetentionSeconds;
    return {
        title: "Control voter and holder",
        today:
            "Each control host keeps the whole state in memory and a log with snapshots on disk. The holder also answers the entries' pulls. Control hosts may be set aside, so the budget of 1.3 % of a core is that of other nodes; a voter's bound is its one event loop.",
        rows: [
            {
                what: "templates, workspaces and keys, memory",
                arithmetic: `${formatNumber(book.perUnit("state.heap"))} B × ${
                    formatNumber(SIZE.workspaces)
                } and a base`,
                value: formatBytes(heap),
                verdict: judge(heap, BUDGET.memoryBytes),
            },
            {
                what: "with the code of the process",
                arithmetic: `+ ${formatBytes(base)} resident`,
                value: formatBytes(base + heap),
                verdict: judge(base + heap, BUDGET.memoryBytes),
            },
            {
                what: "a snapshot",
                arithmetic: `${formatNumber(book.perUnit("state.snapshot.bytes"))} B × ${
                    formatNumber(SIZE.workspaces)
                } and a base, encoded in one go`,
                value: `${formatBytes(snapshot)}, ${formatNumber(encode)} ms`,
                verdict: `must stay well below \`election_ms\` (1,000): ${encode < 500 ? "fits" : "**breaks it**"}`,
            },
            {
                what: "a start from a snapshot",
                arithmetic: `${formatNumber(book.perUnit("state.snapshot.restore") * 1_000)} µs × ${
                    formatNumber(SIZE.workspaces)
                }, and ${formatNumber(book.perUnit("log.replay"))} ms for each entry after it`,
                value: `${formatNumber(book.at("state.snapshot.restore", SIZE.workspaces))} ms, and ${
                    formatNumber(book.perUnit("log.replay") * SNAPSHOT_ENTRIES)
                } ms for ${formatNumber(SNAPSHOT_ENTRIES)} entries`,
            },
            {
                what: "a change of the configuration, applied",
                arithmetic: "does not grow with the number of workspaces",
                value: `${formatNumber(book.mean("state.change.apply"))} µs`,
            },
            {
                what: "links to all entries, idle",
                arithmetic: `${formatNumber(book.perUnit("wire.link.processor"))} ms/s × ${SIZE.nodes} and a base`,
                value: formatProcessor(links),
            },
            {
                what: "pulls of all entries, idle",
                arithmetic: `measured with ${
                    formatNumber(book.largest("pulls.idle.processor"))
                } entries, each once a second; both ends' encoding counted`,
                value: formatProcessor(pulls),
            },
            {
                what: "a change to all entries",
                arithmetic: `${formatNumber(book.perUnit("pulls.change.processor"))} ms × ${SIZE.nodes}, ${
                    formatNumber(NODE.changesPerSecond)
                } a second, ${ASSUMED.changePeak} times that in a burst`,
                value: `${formatNumber(change)} ms; ${formatProcessor(change * NODE.changesPerSecond)}, ${
                    formatProcessor(change * NODE.changesPerSecond * ASSUMED.changePeak)
                }`,
            },
            {
                what: "call records of one day",
                arithmetic: `one request in ${ASSUMED.callsOneIn} (taken for granted): ${
                    formatNumber(calls)
                } a second, ${formatNumber(book.perUnit("ledger.heap"))} B each with an answer of 200 B, kept a day`,
                value: formatBytes(records * book.perUnit("ledger.heap")),
                verdict: judge(records * book.perUnit("ledger.heap"), BUDGET.memoryBytes),
            },
        ],
        next: [
            `A change reaches all entries through one process: ${
                formatNumber(change)
            } ms of its event loop. That is below the limit of ${
                formatNumber(BUDGET.inForceMs)
            } ms and grows with hosts alone. ${NOT_BUILT} With ${SIZE.zones} zone relays the holder serves ${SIZE.zones} pulls instead of ${SIZE.nodes}: ${
                formatNumber(book.perUnit("pulls.change.processor") * SIZE.zones)
            } ms.`,
            `Idle pulls grow faster than hosts: each answer lists all entries before it finds the list unchanged. ${NOT_BUILT} The version is compared first; then the cost is by hosts alone. A burst of changes was measured with 200 entries: ${
                formatNumber(book.perUnit("pulls.rate.processor"))
            } ms/s for each change a second.`,
            `Past 32 MB of kept answers the oldest is found in a list of its own: a call takes ${
                formatNumber(book.first("ledger.full.call"))
            } µs with ${formatNumber(book.smallest("ledger.full.call"))} records and ${
                formatNumber(book.last("ledger.full.call"))
            } µs with ${formatNumber(book.largest("ledger.full.call"))}, against ${
                formatNumber(book.mean("ledger.call"))
            } µs below that. Before that list it took 2,604 µs with 40,000 records (measured on 3 December 2026, busy machine).`,
            `**Call records break the memory** by far. ${NOT_BUILT} They leave the control log for a ledger of their own, split by workspace hash over ${GROUPS} groups on the ${SIZE.controlHosts} control hosts, with records on disk and an index of 24 B for each in memory, kept for one hour in memory and for the rest of the day on disk: ${
                formatBytes(24 * calls * 3_600 / GROUPS)
            } for each host. ${formatNumber(calls / GROUPS)} records a second and group, two entries each, at ${
                formatNumber(book.last("log.entry.processor") / book.largest("log.entry.processor"))
            } ms: ${
                formatProcessor(
                    2 * calls / GROUPS * book.last("log.entry.processor") / book.largest("log.entry.processor"),
                )
            }.`,
            `A snapshot is encoded in one go, while no heartbeat leaves. ${NOT_BUILT} It is written in pieces of a few thousand records with the event loop running between them, from a copy-on-write view of the maps.`,
        ],
    };
}
