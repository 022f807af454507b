import { SlopeBook } from "../../slopeBook/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { judge, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMED, BUDGET, NODE, SIZE } from "../_lib/size.js";

const TARGETS = 2;
const COMPACT_BYTES = 40;
const DIGEST_SECONDS = 5;

const SECONDS_PER_DAY = 86_400;

/** An entry as a listener to upstreams, and the choice of a pool's owner. */
export function describeUpstreams(book: SlopeBook): RoleSection {
    const rate = NODE.announcementsPerSecond;
    const size = book.at("announcement.msgpack.bytes", ASSUMED.cacheEvents) + ASSUMED.packetBytes;
    const spread = rate * TARGETS * size;
    const readMs = rate
        * (book.at("announcement.read", ASSUMED.cacheEvents) + book.at("registry.announce", SIZE.upstreams)) / 1_000;
    const choose = book.at("owner.choose", SIZE.nodes) / 1_000;
    const choices = NODE.listChangesPerDay / SECONDS_PER_DAY * TARGETS * SIZE.models;
    const choicesWithoutTable = NODE.requestsPerSecond + rate * TARGETS;
    const digest = (SIZE.upstreams / NODE.queues * COMPACT_BYTES + ASSUMED.packetBytes) / DIGEST_SECONDS;
    const heap = book.at("registry.heap", SIZE.upstreams);
    return {
        title: "Entry: announcements of upstreams",
        today:
            `An upstream announces itself to any entry twice a second. That entry passes the announcement to the owner of the pool's queue and to the next owner, and to no other: nothing grows with hosts × upstreams. ${ASSUMED.cacheEvents} cache events in each are taken for granted.`,
        rows: [
            {
                what: "taking announcements",
                arithmetic: `${formatNumber(rate)} a second; check of the JSON ${
                    formatNumber(book.at("announcement.read", ASSUMED.cacheEvents))
                } µs, registry ${formatNumber(book.at("registry.announce", SIZE.upstreams))} µs`,
                value: formatProcessor(readMs),
                verdict: judge(readMs, BUDGET.processorMsPerSecond),
            },
            {
                what: "passing them on, bytes",
                arithmetic: `${formatNumber(rate)} a second × ${TARGETS} entries × ${formatNumber(size)} B`,
                value: `${formatBytes(spread)}/s`,
                verdict: judge(spread, BUDGET.bytesPerSecond),
            },
            {
                what: "choosing the owner of a queue",
                arithmetic: `${
                    formatNumber(book.perUnit("owner.choose"))
                } µs × ${SIZE.nodes} hosts, twice for each of ${SIZE.models} models at each of ${NODE.listChangesPerDay} changes of the list of hosts a day`,
                value: formatProcessor(choose * choices),
                verdict: judge(choose * choices, BUDGET.processorMsPerSecond),
            },
            {
                what: "the registry, if an entry heard of all upstreams",
                arithmetic: `${formatNumber(book.perUnit("registry.heap"))} B × ${formatNumber(SIZE.upstreams)}`,
                value: formatBytes(heap),
                verdict: judge(heap, BUDGET.memoryBytes),
            },
            {
                what: "all announcements to all entries",
                arithmetic: `${formatNumber(SIZE.upstreams * ASSUMED.announcementsPerSecond)} a second × ${
                    formatNumber(size)
                } B to each entry`,
                value: `${formatBytes(SIZE.upstreams * ASSUMED.announcementsPerSecond * size)}/s for each entry`,
                verdict: `${
                    judge(SIZE.upstreams * ASSUMED.announcementsPerSecond * size, BUDGET.bytesPerSecond)
                }; not done`,
            },
        ],
        loads: {
            today: { processorMs: readMs + choose * choices, bytesPerSecond: spread },
            next: { processorMs: readMs, bytesPerSecond: digest },
        },
        next: [
            `The owners are kept for each list of hosts, and a choice is a look-up. Made for each request and twice for each announcement, as at first, they took ${
                formatProcessor(choose * choicesWithoutTable)
            }. ${NOT_BUILT} Only the hosts of the region are asked: ${
                Math.round(SIZE.nodes / SIZE.regions)
            } instead of ${SIZE.nodes}.`,
            `**Passing announcements on breaks the budget.** ${NOT_BUILT} The answer to an announcement names the owner of the queue, so that the upstream sends the next ones there and nothing is passed on. The owner gives the next owner a digest in ${DIGEST_SECONDS} s: ${COMPACT_BYTES} B for each of ${
                formatNumber(SIZE.upstreams / NODE.queues)
            } upstreams, ${
                formatBytes(digest)
            }/s, on owners alone. A new owner then knows the upstreams at once, and their load within half a second.`,
        ],
    };
}
