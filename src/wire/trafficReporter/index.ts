import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import { PeerTraffic } from "../peerTraffic/index.js";

/** How often the counters are brought up to date, in milliseconds. */
const REPORT_EVERY_MS = 5_000;
/** How many reports make one line in the log. */
const REPORTS_PER_LINE = 4;
/** The methods with the most bytes that a line names. */
const MOST_ROWS = 8;

/** What a reporter is made of. */
export interface TrafficReporterOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly traffic: PeerTraffic;
    /** Undefined: the log alone gets the figures. */
    readonly metrics?: Metrics;
}

/**
 * Brings what a process and its peers say to each other to the metrics, and now and then to the log.
 *
 * @param options - What to report, and where.
 * @param signal - Ends it when aborted.
 * @example
 * lifecycle.run(signal => reportTraffic({ clock, logger, metrics, traffic: router.traffic }, signal), onError);
 */
export async function reportTraffic(options: TrafficReporterOptions, signal: AbortSignal): Promise<void> {
    const { clock, logger, traffic, metrics } = options;
    for (let reports = 1; !signal.aborted; reports++) {
        await clock.sleepToTick(REPORT_EVERY_MS, signal);
        if (metrics) traffic.report(metrics);
        if (reports % REPORTS_PER_LINE === 0) logger.info("peer-traffic", describe(traffic));
    }
}

/** By way and method: messages and bytes since the start. */
function describe(traffic: PeerTraffic): Record<string, string> {
    const rows = traffic.list().slice(0, MOST_ROWS);
    return Object.fromEntries(
        rows.map(({ way, method, messages, bytes }) => [`${way} ${method}`, `${messages} messages, ${bytes} bytes`]),
    );
}
