import { SlopeBook } from "../../slopeBook/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { RoleSection } from "../_lib/section.js";
import { NODE } from "../_lib/size.js";

const SERIES = 1_000;

/** An entry's work for requests, which is not control, and what it holds for it. */
export function describeRequests(book: SlopeBook): RoleSection {
    const request = book.perUnit("entry.request.processor");
    const token = book.perUnit("entry.token.processor");
    const stream = book.perUnit("stream.entry.heap") - book.perUnit("stream.direct.heap");
    const total = request * NODE.requestsPerSecond + token * NODE.tokensPerSecond;
    return {
        title: "Entry: requests and streams",
        today:
            "Not control, and so not under its budget; the aim of issue 3 is a tenth of a core for a node's share. Measured as the difference between the way through an entry and the direct way to the same stand-in, all in one process; the part of the one control voter beside it is in the figures.",
        rows: [
            {
                what: "requests",
                arithmetic: `${formatNumber(request)} ms × ${formatNumber(NODE.requestsPerSecond)} a second`,
                value: formatProcessor(request * NODE.requestsPerSecond),
            },
            {
                what: "tokens, one an event",
                arithmetic: `${formatNumber(token * 1_000)} µs × ${formatNumber(NODE.tokensPerSecond)} a second`,
                value: formatProcessor(token * NODE.tokensPerSecond),
            },
            {
                what: "both",
                arithmetic: "sum",
                value: formatProcessor(total),
                verdict: total <= 100 ? "within a tenth of a core" : "**more than a tenth of a core**",
            },
            {
                what: "open streams, memory",
                arithmetic: `${formatNumber(stream)} B × ${formatNumber(NODE.openStreams)}`,
                value: formatBytes(stream * NODE.openStreams),
            },
            {
                what: "histograms in the process",
                arithmetic: `${formatNumber(book.perUnit("histogram.heap"))} B × ${
                    formatNumber(SERIES)
                } series, a bound of the settings`,
                value: formatBytes(book.at("histogram.heap", SERIES)),
            },
            {
                what: "a value of a histogram",
                arithmetic: "four for each request",
                value: `${formatNumber(book.mean("histogram.record"))} µs`,
            },
        ],
        next: [
            "Engines that put several tokens into one event cost that much less: the cost is by event.",
        ],
    };
}
