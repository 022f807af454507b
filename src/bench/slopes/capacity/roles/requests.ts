import { SlopeTable } from "../../slopeTable/index.js";
import { formatBytes, formatNumber, formatProcessor } from "../_lib/format.js";
import { RoleSection } from "../_lib/section.js";
import { DERIVED_LOAD } from "../_lib/size.js";

const SERIES_COUNT = 1_000;

/** Describes an entry's processor time and memory for requests, which don't count as control. */
export function describeRequests(slopes: SlopeTable): RoleSection {
    const requestMs = slopes.perUnit("entry.request.processor");
    const tokenMs = slopes.perUnit("entry.token.processor");
    const streamBytes = slopes.perUnit("stream.entry.heap") - slopes.perUnit("stream.direct.heap");
    const totalMsPerSecond = requestMs * DERIVED_LOAD.requestsPerSecond + tokenMs * DERIVED_LOAD.tokensPerSecond;
    return {
        title: "Entry: requests and streams",
        today:
            "Not control, and so not under its budget; the aim of issue 3 is a tenth of a core for a node's share. Measured as the difference between the way through an entry and the direct way to the same stand-in, all in one process; the part of the one control voter beside it is in the figures.",
        rows: [
            {
                subject: "requests",
                arithmetic: `${formatNumber(requestMs)} ms × ${formatNumber(DERIVED_LOAD.requestsPerSecond)} a second`,
                value: formatProcessor(requestMs * DERIVED_LOAD.requestsPerSecond),
            },
            {
                subject: "tokens, one an event",
                arithmetic: `${formatNumber(tokenMs * 1_000)} µs × ${
                    formatNumber(DERIVED_LOAD.tokensPerSecond)
                } a second`,
                value: formatProcessor(tokenMs * DERIVED_LOAD.tokensPerSecond),
            },
            {
                subject: "both",
                arithmetic: "sum",
                value: formatProcessor(totalMsPerSecond),
                verdict: totalMsPerSecond <= 100 ? "within a tenth of a core" : "**more than a tenth of a core**",
            },
            {
                subject: "open streams, memory",
                arithmetic: `${formatNumber(streamBytes)} B × ${formatNumber(DERIVED_LOAD.openStreams)}`,
                value: formatBytes(streamBytes * DERIVED_LOAD.openStreams),
            },
            {
                subject: "histograms in the process",
                arithmetic: `${formatNumber(slopes.perUnit("histogram.heap"))} B × ${
                    formatNumber(SERIES_COUNT)
                } series, a bound of the settings`,
                value: formatBytes(slopes.predictAt("histogram.heap", SERIES_COUNT)),
            },
            {
                subject: "a value of a histogram",
                arithmetic: "four for each request",
                value: `${formatNumber(slopes.mean("histogram.record"))} µs`,
            },
        ],
        designed: [
            "Engines that put several tokens into one event cost that much less: the cost is by event.",
        ],
    };
}
