import { SlopeBook } from "../../slopeBook/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { judge, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMED, BUDGET, NODE, SIZE } from "../_lib/size.js";

/** An entry as a reader of the configuration. */
export function describeView(book: SlopeBook): RoleSection {
    const heap = book.at("view.heap", SIZE.workspaces);
    const base = book.mean("base.entry.resident");
    const full = book.at("view.full.bytes", SIZE.workspaces);
    const load = book.at("view.full.apply", SIZE.workspaces);
    const change = book.mean("view.change.bytes") + ASSUMED.packetBytes;
    const changeBytes = NODE.changesPerSecond * change;
    const loadBytes = full * SIZE.restartsPerDay / SIZE.nodes / NODE.secondsPerDay;
    return {
        title: "Entry: its view of the configuration",
        today:
            "Each entry holds all workspaces and the hashes of their keys, and keeps them fresh by a long poll to the holder. Equal profiles are kept once. Measured with two keys and seven classes for each workspace.",
        rows: [
            {
                what: "memory of the view",
                arithmetic: `${formatNumber(book.perUnit("view.heap"))} B × ${
                    formatNumber(SIZE.workspaces)
                } workspaces`,
                value: formatBytes(heap),
                verdict: judge(heap, BUDGET.memoryBytes),
            },
            {
                what: "memory of the process before any request",
                arithmetic: `${formatBytes(base)} resident with the role's code + the view`,
                value: formatBytes(base + heap),
                verdict: judge(base + heap, BUDGET.memoryBytes),
            },
            {
                what: "look-up of a key",
                arithmetic: `${formatNumber(book.mean("view.find"))} µs × ${
                    formatNumber(NODE.requestsPerSecond)
                } requests a second`,
                value: formatProcessor(book.mean("view.find") * NODE.requestsPerSecond / 1_000),
            },
            {
                what: "changes, bytes",
                arithmetic: `${formatNumber(change)} B × ${
                    formatNumber(NODE.changesPerSecond)
                } a second; ${ASSUMED.changePeak} times that in a burst`,
                value: `${formatBytes(changeBytes)}/s; ${formatBytes(changeBytes * ASSUMED.changePeak)}/s`,
                verdict: judge(changeBytes * ASSUMED.changePeak, BUDGET.bytesPerSecond),
            },
            {
                what: "changes, processor time",
                arithmetic: `${
                    formatNumber(book.mean("view.change.apply"))
                } µs each, whatever the number of workspaces`,
                value: formatProcessor(book.mean("view.change.apply") * NODE.changesPerSecond / 1_000),
                verdict: judge(
                    book.mean("view.change.apply") * NODE.changesPerSecond / 1_000,
                    BUDGET.processorMsPerSecond,
                ),
            },
            {
                what: "the whole view at a start, bytes",
                arithmetic: `${formatNumber(book.perUnit("view.full.bytes"))} B × ${
                    formatNumber(SIZE.workspaces)
                }; ${SIZE.restartsPerDay} restarts a day over ${SIZE.nodes} nodes`,
                value: `${formatBytes(full)} at once, ${formatBytes(loadBytes)}/s in the mean`,
                verdict: judge(loadBytes, BUDGET.bytesPerSecond),
            },
            {
                what: "the whole view at a start, processor time",
                arithmetic: `${formatNumber(book.perUnit("view.full.apply") * 1_000)} µs × ${
                    formatNumber(SIZE.workspaces)
                }, in one go`,
                value: `${formatNumber(load)} ms`,
                verdict: `a peer calls silence after 2,000 ms: ${judge(load, 2_000)}`,
            },
        ],
        loads: {
            today: {
                processorMs: book.mean("view.change.apply") * NODE.changesPerSecond / 1_000,
                bytesPerSecond: changeBytes + loadBytes,
            },
            next: {
                processorMs: book.mean("view.change.apply") * NODE.changesPerSecond / 1_000,
                bytesPerSecond: changeBytes + loadBytes,
            },
        },
        next: [
            `The whole view is one message of ${
                formatBytes(full)
            }: each profile (classes, pools, weight) stands in it once. Written out for each workspace it would be ${
                formatBytes(book.at("view.plain.bytes", SIZE.workspaces))
            }, as it was when these slopes were first taken. An entry takes it in before it serves callers. ${NOT_BUILT} It comes in pieces of a few hundred KB, between which the event loop runs; a zone relay (below) serves it within the zone.`,
            `The budget of 128 MB holds; most of it is the code of the process. ${NOT_BUILT} A still smaller form is a compact table: key hashes cut to 16 bytes in one sorted buffer with a workspace number of 4 (${
                formatBytes(2 * 20 * SIZE.workspaces)
            }), and the workspaces' few own values in typed arrays beside their names (about 40 B, ${
                formatBytes(40 * SIZE.workspaces)
            }).`,
        ],
    };
}
