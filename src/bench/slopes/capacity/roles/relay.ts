import { SlopeTable } from "../../slopeTable/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { formatVerdict, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMPTIONS, BUDGET, DERIVED_LOAD, TARGET_SIZE } from "../_lib/size.js";

const RELAYS_PER_ZONE = 2;

/** Describes a zone relay, which isn't implemented; its costs are computed from the slopes of its parts. */
export function describeRelay(slopes: SlopeTable): RoleSection {
    const entriesPerRelay = TARGET_SIZE.nodes / TARGET_SIZE.zones / RELAYS_PER_ZONE;
    const linkMsPerSecond = slopes.perUnit("wire.link.processor") * entriesPerRelay;
    const pullMsPerSecond = slopes.perUnit("pulls.idle.processor") * entriesPerRelay;
    const changeMessageBytes = slopes.mean("view.change.bytes") + ASSUMPTIONS.packetBytes;
    const changeBytesPerSecond = changeMessageBytes * entriesPerRelay * DERIVED_LOAD.changesPerSecond;
    const startBytesPerSecond = slopes.predictAt("view.full.bytes", TARGET_SIZE.workspaces) * TARGET_SIZE.restartsPerDay
        / TARGET_SIZE.zones / RELAYS_PER_ZONE
        / DERIVED_LOAD.secondsPerDay;
    return {
        title: "Zone relay",
        today:
            `${NOT_BUILT} Entries pull from the holder directly. A relay is an entry that pulls for its zone and answers its neighbours' pulls from its own view; ${RELAYS_PER_ZONE} in each of ${TARGET_SIZE.zones} zones, ${
                formatNumber(entriesPerRelay)
            } entries each. The figures are those of the holder's code with so many entries.`,
        rows: [
            {
                subject: "links and pulls",
                arithmetic: `(${formatNumber(slopes.perUnit("wire.link.processor"))} + ${
                    formatNumber(slopes.perUnit("pulls.idle.processor"))
                }) ms/s × ${formatNumber(entriesPerRelay)}`,
                value: formatProcessor(linkMsPerSecond + pullMsPerSecond),
                verdict: formatVerdict(linkMsPerSecond + pullMsPerSecond, BUDGET.processorMsPerSecond),
            },
            {
                subject: "changes passed on, bytes",
                arithmetic: `${formatNumber(changeMessageBytes)} B × ${formatNumber(entriesPerRelay)} × ${
                    formatNumber(DERIVED_LOAD.changesPerSecond)
                } a second`,
                value: `${formatBytes(changeBytesPerSecond)}/s`,
                verdict: formatVerdict(changeBytesPerSecond, BUDGET.bytesPerSecond),
            },
            {
                subject: "whole views for entries that start",
                arithmetic: `${TARGET_SIZE.restartsPerDay} a day over ${
                    TARGET_SIZE.zones * RELAYS_PER_ZONE
                } relays, today's form of the view`,
                value: `${formatBytes(startBytesPerSecond)}/s`,
                verdict: formatVerdict(startBytesPerSecond, BUDGET.bytesPerSecond),
            },
        ],
        designed: [
            "The freshness lease passes through: a relay gives its neighbours what is left of its own lease, counted from when its own pull left, and never more. The holder counts a zone as in force when its relay says so for each neighbour by name; a relay that is lost costs its neighbours one reconnection to the other relay within the lease.",
        ],
    };
}
