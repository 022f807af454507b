import { SlopeBook } from "../../slopeBook/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { judge, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMED, BUDGET, NODE, SIZE } from "../_lib/size.js";

const RELAYS_A_ZONE = 2;

/** A zone relay, which is not built: what it would cost by the slopes of what it is made of. */
export function describeRelay(book: SlopeBook): RoleSection {
    const entries = SIZE.nodes / SIZE.zones / RELAYS_A_ZONE;
    const links = book.perUnit("wire.link.processor") * entries;
    const pulls = book.perUnit("pulls.idle.processor") * entries;
    const change = book.mean("view.change.bytes") + ASSUMED.packetBytes;
    const bytes = change * entries * NODE.changesPerSecond;
    const starts = book.at("view.full.bytes", SIZE.workspaces) * SIZE.restartsPerDay / SIZE.zones / RELAYS_A_ZONE
        / NODE.secondsPerDay;
    return {
        title: "Zone relay",
        today:
            `${NOT_BUILT} Entries pull from the holder directly. A relay is an entry that pulls for its zone and answers its neighbours' pulls from its own view; ${RELAYS_A_ZONE} in each of ${SIZE.zones} zones, ${
                formatNumber(entries)
            } entries each. The figures are those of the holder's code with so many entries.`,
        rows: [
            {
                what: "links and pulls",
                arithmetic: `(${formatNumber(book.perUnit("wire.link.processor"))} + ${
                    formatNumber(book.perUnit("pulls.idle.processor"))
                }) ms/s × ${formatNumber(entries)}`,
                value: formatProcessor(links + pulls),
                verdict: judge(links + pulls, BUDGET.processorMsPerSecond),
            },
            {
                what: "changes passed on, bytes",
                arithmetic: `${formatNumber(change)} B × ${formatNumber(entries)} × ${
                    formatNumber(NODE.changesPerSecond)
                } a second`,
                value: `${formatBytes(bytes)}/s`,
                verdict: judge(bytes, BUDGET.bytesPerSecond),
            },
            {
                what: "whole views for entries that start",
                arithmetic: `${SIZE.restartsPerDay} a day over ${
                    SIZE.zones * RELAYS_A_ZONE
                } relays, today's form of the view`,
                value: `${formatBytes(starts)}/s`,
                verdict: judge(starts, BUDGET.bytesPerSecond),
            },
        ],
        next: [
            "The freshness lease passes through: a relay gives its neighbours what is left of its own lease, counted from when its own pull left, and never more. The holder counts a zone as in force when its relay says so for each neighbour by name; a relay that is lost costs its neighbours one reconnection to the other relay within the lease.",
        ],
    };
}
