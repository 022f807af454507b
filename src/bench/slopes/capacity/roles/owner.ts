import { SlopeBook } from "../../slopeBook/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { judge, NOT_BUILT, RoleSection } from "../_lib/section.js";
import { ASSUMED, BUDGET, NODE, SIZE } from "../_lib/size.js";

const GRANT_BYTES = 200;
const COMPLETION_BYTES = 230;
const CALLS_EACH = 2;
const LOAN_BYTES = 150;
const LOAN_SECONDS = 2;

/** The owner of a pool's queue. */
export function describeOwner(book: SlopeBook): RoleSection {
    const tickets = SIZE.requestsPerSecond / NODE.queues;
    const upstreams = SIZE.upstreams / NODE.queues;
    const grant = book.at("dispatch.grant.processor", upstreams) / 1_000;
    const wire = CALLS_EACH * book.mean("wire.call.processor") / 1_000;
    const load = tickets * (grant + wire);
    const ticketBytes = book.mean("dispatch.ticket.bytes") + GRANT_BYTES + COMPLETION_BYTES + 3 * ASSUMED.packetBytes;
    const loans = SIZE.models * (LOAN_BYTES + ASSUMED.packetBytes) / LOAN_SECONDS;
    // As many as there are nodes for: at most one on each.
    const shards = Math.floor(SIZE.nodes / NODE.queues);
    return {
        title: "Pool owner",
        today:
            `One entry owns the queue of a pool in a region; the others send it tickets and get grants. ${SIZE.models} models in ${SIZE.regions} regions make ${NODE.queues} queues, ${
                formatNumber(tickets)
            } tickets a second and ${formatNumber(upstreams)} upstreams each.`,
        rows: [
            {
                what: "a request's way through the queue",
                arithmetic: `${formatNumber(grant * 1_000)} µs with ${formatNumber(upstreams)} upstreams, ${
                    formatNumber(wire * 1_000)
                } µs for ${CALLS_EACH} messages`,
                value: `${formatNumber((grant + wire) * 1_000)} µs`,
            },
            {
                what: "one queue of the letter",
                arithmetic: `× ${formatNumber(tickets)} tickets a second`,
                value: formatProcessor(load),
                verdict: judge(load, BUDGET.processorMsPerSecond),
            },
            {
                what: "a request with others waiting",
                arithmetic: `${formatNumber(book.largest("dispatch.waiting.processor"))} waiting, all slots taken`,
                value: `${formatNumber(book.last("dispatch.waiting.processor"))} µs`,
            },
            {
                what: "a ticket, its grant and its completion",
                arithmetic: `${
                    formatNumber(book.mean("dispatch.ticket.bytes"))
                } + ${GRANT_BYTES} + ${COMPLETION_BYTES} B (the last two reckoned) and packets, × ${
                    formatNumber(NODE.requestsPerSecond)
                } requests a second of an entry`,
                value: `${formatBytes(ticketBytes * NODE.requestsPerSecond)}/s`,
                verdict: judge(ticketBytes * NODE.requestsPerSecond, BUDGET.bytesPerSecond),
            },
        ],
        loads: {
            today: { processorMs: NODE.requestsPerSecond * wire, bytesPerSecond: ticketBytes * NODE.requestsPerSecond },
            next: { processorMs: load / shards, bytesPerSecond: loans },
        },
        next: [
            `**A queue of the letter breaks the budget on its one owner.** ${NOT_BUILT} A queue splits into ${shards} shards by hash of the workspace, each with its part of the pool's upstreams: ${
                NODE.queues * shards
            } shards over ${SIZE.nodes} nodes, ${
                formatNumber(load / shards)
            } ms/s each. Order stays exact within a shard; between shards upstreams move by the minute, from the shard with the shortest predicted wait to the one with the longest.`,
            `**A ticket for each request breaks the budget of bytes** if tickets count as control. ${NOT_BUILT} An owner lends slots: every ${LOAN_SECONDS} s it tells each entry how many requests of which tier it may send to which upstreams, and the entry grants by itself while they last. ${SIZE.models} pools × ${LOAN_BYTES} B and a packet are ${
                formatBytes(loans)
            }/s; only requests beyond the loan send tickets. What it costs in order and fairness is to be measured against one queue before it is built.`,
        ],
    };
}
