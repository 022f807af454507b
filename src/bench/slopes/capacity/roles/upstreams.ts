import { SlopeTable } from "../../slopeTable/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { formatVerdict, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMPTIONS, BUDGET, DERIVED_LOAD, TARGET_SIZE } from "../_lib/size.js";

/** Entries that get each announcement: the owner of the pool's queue and the next owner. */
const FORWARD_TARGETS = 2;
const DIGEST_BYTES_PER_UPSTREAM = 40;
const DIGEST_INTERVAL_S = 5;

const SECONDS_PER_DAY = 86_400;

/** Describes an entry's work for announcements of upstreams, and the choice of a pool's owner. */
export function describeUpstreams(slopes: SlopeTable): RoleSection {
    const announcementsPerSecond = DERIVED_LOAD.announcementsPerSecond;
    const announcementBytes = slopes.predictAt("announcement.msgpack.bytes", ASSUMPTIONS.cacheEvents)
        + ASSUMPTIONS.packetBytes;
    const forwardedBytesPerSecond = announcementsPerSecond * FORWARD_TARGETS * announcementBytes;
    const readMs = announcementsPerSecond
        * (slopes.predictAt("announcement.read", ASSUMPTIONS.cacheEvents)
            + slopes.predictAt("registry.announce", TARGET_SIZE.upstreams))
        / 1_000;
    const chooseMs = slopes.predictAt("owner.choose", TARGET_SIZE.nodes) / 1_000;
    const choicesPerSecond = DERIVED_LOAD.listChangesPerDay / SECONDS_PER_DAY * FORWARD_TARGETS * TARGET_SIZE.models;
    const choicesPerSecondWithoutTable = DERIVED_LOAD.requestsPerSecond + announcementsPerSecond * FORWARD_TARGETS;
    const digestBytesPerSecond =
        (TARGET_SIZE.upstreams / DERIVED_LOAD.queues * DIGEST_BYTES_PER_UPSTREAM + ASSUMPTIONS.packetBytes)
        / DIGEST_INTERVAL_S;
    const heapBytes = slopes.predictAt("registry.heap", TARGET_SIZE.upstreams);
    return {
        title: "Entry: announcements of upstreams",
        today:
            `An upstream announces itself to any entry twice a second. That entry passes the announcement to the owner of the pool's queue and to the next owner, and to no other: nothing grows with hosts × upstreams. ${ASSUMPTIONS.cacheEvents} cache events in each are taken for granted.`,
        rows: [
            {
                subject: "taking announcements",
                arithmetic: `${formatNumber(announcementsPerSecond)} a second; check of the JSON ${
                    formatNumber(slopes.predictAt("announcement.read", ASSUMPTIONS.cacheEvents))
                } µs, registry ${formatNumber(slopes.predictAt("registry.announce", TARGET_SIZE.upstreams))} µs`,
                value: formatProcessor(readMs),
                verdict: formatVerdict(readMs, BUDGET.processorMsPerSecond),
            },
            {
                subject: "passing them on, bytes",
                arithmetic: `${formatNumber(announcementsPerSecond)} a second × ${FORWARD_TARGETS} entries × ${
                    formatNumber(announcementBytes)
                } B`,
                value: `${formatBytes(forwardedBytesPerSecond)}/s`,
                verdict: formatVerdict(forwardedBytesPerSecond, BUDGET.bytesPerSecond),
            },
            {
                subject: "choosing the owner of a queue",
                arithmetic: `${
                    formatNumber(slopes.perUnit("owner.choose"))
                } µs × ${TARGET_SIZE.nodes} hosts, twice for each of ${TARGET_SIZE.models} models at each of ${DERIVED_LOAD.listChangesPerDay} changes of the list of hosts a day`,
                value: formatProcessor(chooseMs * choicesPerSecond),
                verdict: formatVerdict(chooseMs * choicesPerSecond, BUDGET.processorMsPerSecond),
            },
            {
                subject: "the registry, if an entry heard of all upstreams",
                arithmetic: `${formatNumber(slopes.perUnit("registry.heap"))} B × ${
                    formatNumber(TARGET_SIZE.upstreams)
                }`,
                value: formatBytes(heapBytes),
                verdict: formatVerdict(heapBytes, BUDGET.memoryBytes),
            },
            {
                subject: "all announcements to all entries",
                arithmetic: `${formatNumber(TARGET_SIZE.upstreams * ASSUMPTIONS.announcementsPerSecond)} a second × ${
                    formatNumber(announcementBytes)
                } B to each entry`,
                value: `${
                    formatBytes(TARGET_SIZE.upstreams * ASSUMPTIONS.announcementsPerSecond * announcementBytes)
                }/s for each entry`,
                verdict: `${
                    formatVerdict(
                        TARGET_SIZE.upstreams * ASSUMPTIONS.announcementsPerSecond * announcementBytes,
                        BUDGET.bytesPerSecond,
                    )
                }; not done`,
            },
        ],
        loads: {
            today: { processorMs: readMs + chooseMs * choicesPerSecond, bytesPerSecond: forwardedBytesPerSecond },
            designed: { processorMs: readMs, bytesPerSecond: digestBytesPerSecond },
        },
        designed: [
            `The owners are kept for each list of hosts, and a choice is a look-up. Made for each request and twice for each announcement, as at first, they took ${
                formatProcessor(chooseMs * choicesPerSecondWithoutTable)
            }. ${NOT_BUILT} Only the hosts of the region are asked: ${
                Math.round(TARGET_SIZE.nodes / TARGET_SIZE.regions)
            } instead of ${TARGET_SIZE.nodes}.`,
            `**Passing announcements on breaks the budget.** ${NOT_BUILT} The answer to an announcement names the owner of the queue, so that the upstream sends the next ones there and nothing is passed on. The owner gives the next owner a digest in ${DIGEST_INTERVAL_S} s: ${DIGEST_BYTES_PER_UPSTREAM} B for each of ${
                formatNumber(TARGET_SIZE.upstreams / DERIVED_LOAD.queues)
            } upstreams, ${
                formatBytes(digestBytesPerSecond)
            }/s, on owners alone. A new owner then knows the upstreams at once, and their load within half a second.`,
        ],
    };
}
