import { SlopeTable } from "../../slopeTable/index.js";
import { formatBytes, formatNumber } from "../_lib/format.js";
import { formatVerdict, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMPTIONS, BUDGET, TARGET_SIZE } from "../_lib/size.js";

const LEASE_MS = 3_000;
const LEASE_DRIFT_FACTOR = 1.02;
const ELECTION_MS = 2_000;
const SILENCE_MS = 2_000;

/** Describes the effects of changes, failures and losses at `TARGET_SIZE`. */
export function describeEvents(slopes: SlopeTable): RoleSection {
    const commitMs = ASSUMPTIONS.regionRoundTripMs;
    const pushMs = slopes.predictAt("pulls.change.processor", TARGET_SIZE.nodes) + 2 * ASSUMPTIONS.regionRoundTripMs;
    const leaseExpiryMs = LEASE_MS * LEASE_DRIFT_FACTOR;
    const viewBytes = slopes.predictAt("view.full.bytes", TARGET_SIZE.workspaces);
    const encodeMs = slopes.predictAt("view.full.encode", TARGET_SIZE.workspaces);
    const entriesPerZone = Math.round(TARGET_SIZE.nodes / TARGET_SIZE.zones);
    return {
        title: "Changes, failures and losses",
        today:
            "The times follow from the settings' defaults (freshness lease 3 s, election after 1 to 2 s, silence 2 s) and from the slopes; only what a test or a run shows is proved, and none was run with 410 hosts.",
        rows: [
            {
                subject: "a change in force, all well",
                arithmetic:
                    `commit in ${commitMs} ms over regions (taken for granted), push and the entries' next pulls ${
                        formatNumber(pushMs)
                    } ms`,
                value: `${formatNumber(commitMs + pushMs)} ms`,
                verdict: formatVerdict(commitMs + pushMs, BUDGET.inForceMs),
            },
            {
                subject: "with an entry or a whole region cut off",
                arithmetic: `its lease lapses first: ${formatNumber(leaseExpiryMs)} ms`,
                value: `${formatNumber(commitMs + pushMs + leaseExpiryMs)} ms`,
                verdict: formatVerdict(commitMs + pushMs + leaseExpiryMs, BUDGET.inForceMs),
            },
            {
                subject: "with the holder lost at that moment",
                arithmetic: `election ${
                    formatNumber(ELECTION_MS)
                } ms, then entries not heard from yet count as alive for one lease`,
                value: `${formatNumber(ELECTION_MS + commitMs + pushMs + leaseExpiryMs)} ms`,
                verdict: formatVerdict(ELECTION_MS + commitMs + pushMs + leaseExpiryMs, BUDGET.inForceMs),
            },
            {
                subject: "the loss of a host, 36 a day",
                arithmetic: `silence ${formatNumber(SILENCE_MS)} ms; then its queues and held batches move`,
                value: `${
                    formatNumber(TARGET_SIZE.failuresPerDay * SILENCE_MS / 1_000)
                } s a day in which one host's queues stand still`,
            },
            {
                subject: "130 restarts a day",
                arithmetic: `${formatBytes(viewBytes)} of view for each, from the holder`,
                value: `${formatBytes(viewBytes * TARGET_SIZE.restartsPerDay)} a day`,
            },
            {
                subject: "a zone comes back at once",
                arithmetic: `${entriesPerZone} views from one event loop, ${formatNumber(encodeMs)} ms to encode each`,
                value: `${formatNumber(entriesPerZone * encodeMs)} ms, ${formatBytes(entriesPerZone * viewBytes)}`,
                verdict: `each encoding holds the holder's event loop; an election comes after 1,000 ms: ${
                    formatVerdict(encodeMs, 1_000)
                }`,
            },
        ],
        designed: [
            `**A zone that comes back** lets the holder encode the same view ${entriesPerZone} times. ${NOT_BUILT} The encoded view is kept for its revision and sent in pieces, so that the second entry costs a copy; the zone's relay asks once.`,
            "A rack or switch (about 15 hosts): rendezvous hashing spreads their queues over the rest; each of the others' entries opens links to the new owners on its next request. Voters of one group must stand in different racks: a matter of the settings, not checked today.",
            "A zone: one voter of a group at most stands in it, so a quorum stays; its reclaimable upstreams are what the purchase plan covers.",
            "A region's link: the side with the quorum goes on. Entries of the other side find their freshness lease lapsed after 3 s and refuse new work as \"not run\" until the link is back, while streams under way end in good order. This is the price of \"a withdrawn key stops within seconds\": no mechanism keeps both over minutes without a link. Five voters over four regions keep the quorum with any one region cut off. Placing voters by region is not checked today.",
            "A second disk lost right after a repair: a replaced voter is a learner until it has synced all committed entries; with five voters two may be lost.",
        ],
    };
}
