import { SlopeBook } from "../../slopeBook/index.js";
import { formatBytes, formatNumber } from "../_lib/format.js";
import { judge, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMED, BUDGET, SIZE } from "../_lib/size.js";

const LEASE_MS = 3_000;
const LEASE_DRIFT = 1.02;
const ELECTION_MS = 2_000;
const SILENCE_MS = 2_000;

/** Changes, failures and losses at the letter's size. */
export function describeEvents(book: SlopeBook): RoleSection {
    const commit = ASSUMED.regionRoundTripMs;
    const push = book.at("pulls.change.processor", SIZE.nodes) + 2 * ASSUMED.regionRoundTripMs;
    const lapse = LEASE_MS * LEASE_DRIFT;
    const view = book.at("view.full.bytes", SIZE.workspaces);
    const encode = book.at("view.full.encode", SIZE.workspaces);
    const zone = Math.round(SIZE.nodes / SIZE.zones);
    return {
        title: "Changes, failures and losses",
        today:
            "The times follow from the settings' defaults (freshness lease 3 s, election after 1 to 2 s, silence 2 s) and from the slopes; only what a test or a run shows is proved, and none was run with 410 hosts.",
        rows: [
            {
                what: "a change in force, all well",
                arithmetic:
                    `commit in ${commit} ms over regions (taken for granted), push and the entries' next pulls ${
                        formatNumber(push)
                    } ms`,
                value: `${formatNumber(commit + push)} ms`,
                verdict: judge(commit + push, BUDGET.inForceMs),
            },
            {
                what: "with an entry or a whole region cut off",
                arithmetic: `its lease lapses first: ${formatNumber(lapse)} ms`,
                value: `${formatNumber(commit + push + lapse)} ms`,
                verdict: judge(commit + push + lapse, BUDGET.inForceMs),
            },
            {
                what: "with the holder lost at that moment",
                arithmetic: `election ${
                    formatNumber(ELECTION_MS)
                } ms, then entries not heard from yet count as alive for one lease`,
                value: `${formatNumber(ELECTION_MS + commit + push + lapse)} ms`,
                verdict: judge(ELECTION_MS + commit + push + lapse, BUDGET.inForceMs),
            },
            {
                what: "the loss of a host, 36 a day",
                arithmetic: `silence ${formatNumber(SILENCE_MS)} ms; then its queues and held batches move`,
                value: `${
                    formatNumber(SIZE.failuresPerDay * SILENCE_MS / 1_000)
                } s a day in which one host's queues stand still`,
            },
            {
                what: "130 restarts a day",
                arithmetic: `${formatBytes(view)} of view for each, from the holder`,
                value: `${formatBytes(view * SIZE.restartsPerDay)} a day`,
            },
            {
                what: "a zone comes back at once",
                arithmetic: `${zone} views from one event loop, ${formatNumber(encode)} ms to encode each`,
                value: `${formatNumber(zone * encode)} ms, ${formatBytes(zone * view)}`,
                verdict: `each encoding holds the holder's event loop; an election comes after 1,000 ms: ${
                    judge(encode, 1_000)
                }`,
            },
        ],
        next: [
            `**A zone that comes back** lets the holder encode the same view ${zone} times. ${NOT_BUILT} The encoded view is kept for its revision and sent in pieces, so that the second entry costs a copy; the zone's relay asks once.`,
            "A rack or switch (about 15 hosts): rendezvous hashing spreads their queues over the rest; each of the others' entries opens links to the new owners on its next request. Voters of one group must stand in different racks: a matter of the settings, not checked today.",
            "A zone: one voter of a group at most stands in it, so a quorum stays; its reclaimable upstreams are what the purchase plan covers.",
            "A region's link: the side with the quorum goes on. Entries of the other side find their freshness lease lapsed after 3 s and refuse new work as \"not run\" until the link is back, while streams under way end in good order. This is the price of \"a withdrawn key stops within seconds\": no mechanism keeps both over minutes without a link. Five voters over four regions keep the quorum with any one region cut off. Placing voters by region is not checked today.",
            "A second disk lost right after a repair: a replaced voter is a learner until it has synced all committed entries; with five voters two may be lost.",
        ],
    };
}
