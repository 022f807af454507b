import { SlopeTable } from "../../slopeTable/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { formatVerdict, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMPTIONS, BUDGET, DERIVED_LOAD, TARGET_SIZE } from "../_lib/size.js";

const GRANT_BYTES = 200;
const COMPLETION_BYTES = 230;
const MESSAGES_PER_TICKET = 2;
const LOAN_BYTES = 150;
const LOAN_INTERVAL_S = 2;

/** Describes the owner of a pool's queue. */
export function describeOwner(slopes: SlopeTable): RoleSection {
    const ticketsPerSecond = TARGET_SIZE.requestsPerSecond / DERIVED_LOAD.queues;
    const upstreamsPerQueue = TARGET_SIZE.upstreams / DERIVED_LOAD.queues;
    const grantMs = slopes.predictAt("dispatch.grant.processor", upstreamsPerQueue) / 1_000;
    const messagesMs = MESSAGES_PER_TICKET * slopes.mean("wire.call.processor") / 1_000;
    const queueMsPerSecond = ticketsPerSecond * (grantMs + messagesMs);
    const ticketBytes = slopes.mean("dispatch.ticket.bytes") + GRANT_BYTES + COMPLETION_BYTES
        + 3 * ASSUMPTIONS.packetBytes;
    const loanBytesPerSecond = TARGET_SIZE.models * (LOAN_BYTES + ASSUMPTIONS.packetBytes) / LOAN_INTERVAL_S;
    // At most one shard on each node.
    const shards = Math.floor(TARGET_SIZE.nodes / DERIVED_LOAD.queues);
    return {
        title: "Pool owner",
        today:
            `One entry owns the queue of a pool in a region; the others send it tickets and get grants. ${TARGET_SIZE.models} models in ${TARGET_SIZE.regions} regions make ${DERIVED_LOAD.queues} queues, ${
                formatNumber(ticketsPerSecond)
            } tickets a second and ${formatNumber(upstreamsPerQueue)} upstreams each.`,
        rows: [
            {
                subject: "a request's way through the queue",
                arithmetic: `${formatNumber(grantMs * 1_000)} µs with ${formatNumber(upstreamsPerQueue)} upstreams, ${
                    formatNumber(messagesMs * 1_000)
                } µs for ${MESSAGES_PER_TICKET} messages`,
                value: `${formatNumber((grantMs + messagesMs) * 1_000)} µs`,
            },
            {
                subject: "one queue of the letter",
                arithmetic: `× ${formatNumber(ticketsPerSecond)} tickets a second`,
                value: formatProcessor(queueMsPerSecond),
                verdict: formatVerdict(queueMsPerSecond, BUDGET.processorMsPerSecond),
            },
            {
                subject: "a request with others waiting",
                arithmetic: `${
                    formatNumber(slopes.largestSize("dispatch.waiting.processor"))
                } waiting, all slots taken`,
                value: `${formatNumber(slopes.meanAtLargestSize("dispatch.waiting.processor"))} µs`,
            },
            {
                subject: "a ticket, its grant and its completion",
                arithmetic: `${
                    formatNumber(slopes.mean("dispatch.ticket.bytes"))
                } + ${GRANT_BYTES} + ${COMPLETION_BYTES} B (the last two reckoned) and packets, × ${
                    formatNumber(DERIVED_LOAD.requestsPerSecond)
                } requests a second of an entry`,
                value: `${formatBytes(ticketBytes * DERIVED_LOAD.requestsPerSecond)}/s`,
                verdict: formatVerdict(ticketBytes * DERIVED_LOAD.requestsPerSecond, BUDGET.bytesPerSecond),
            },
        ],
        loads: {
            today: {
                processorMs: DERIVED_LOAD.requestsPerSecond * messagesMs,
                bytesPerSecond: ticketBytes * DERIVED_LOAD.requestsPerSecond,
            },
            designed: { processorMs: queueMsPerSecond / shards, bytesPerSecond: loanBytesPerSecond },
        },
        designed: [
            `**A queue of the letter breaks the budget on its one owner.** ${NOT_BUILT} A queue splits into ${shards} shards by hash of the workspace, each with its part of the pool's upstreams: ${
                DERIVED_LOAD.queues * shards
            } shards over ${TARGET_SIZE.nodes} nodes, ${
                formatNumber(queueMsPerSecond / shards)
            } ms/s each. Order stays exact within a shard; between shards upstreams move by the minute, from the shard with the shortest predicted wait to the one with the longest.`,
            `**A ticket for each request breaks the budget of bytes** if tickets count as control. ${NOT_BUILT} An owner lends slots: every ${LOAN_INTERVAL_S} s it tells each entry how many requests of which tier it may send to which upstreams, and the entry grants by itself while they last. ${TARGET_SIZE.models} pools × ${LOAN_BYTES} B and a packet are ${
                formatBytes(loanBytesPerSecond)
            }/s; only requests beyond the loan send tickets. What it costs in order and fairness is to be measured against one queue before it is built.`,
        ],
    };
}
