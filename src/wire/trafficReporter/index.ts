import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import { PeerTraffic } from "../peerTraffic/index.js";

/** Interval between updates of the counters, in milliseconds. */
const REPORT_INTERVAL_MS = 5_000;
/** Number of counter updates per log line. */
const REPORTS_PER_LOG_LINE = 4;
/** Maximum number of entries in a log line, those with the most bytes first. */
const MAX_LOGGED_ROWS = 8;

/** Options of a traffic reporter. */
export interface TrafficReporterOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly traffic: PeerTraffic;
    /** Undefined: the traffic is only logged. */
    readonly metrics?: Metrics;
}

/**
 * Periodically adds the traffic between a process and its peers to the metrics, and less often logs it.
 *
 * @param options - Traffic to report, and where to report it.
 * @param signal - Stops the reporter when aborted.
 * @example
 * lifecycle.run(signal => reportTraffic({ clock, logger, metrics, traffic: router.traffic }, signal), onError);
 */
export async function reportTraffic(options: TrafficReporterOptions, signal: AbortSignal): Promise<void> {
    const { clock, logger, traffic, metrics } = options;
    for (let reports = 1; !signal.aborted; reports++) {
        await clock.sleepToTick(REPORT_INTERVAL_MS, signal);
        if (metrics) traffic.report(metrics);
        if (reports % REPORTS_PER_LOG_LINE === 0) logger.info("peer-traffic", formatTraffic(traffic));
    }
}

/** Formats the messages and bytes since the start, by direction and method. */
function formatTraffic(traffic: PeerTraffic): Record<string, string> {
    const rows = traffic.list().slice(0, MAX_LOGGED_ROWS);
    return Object.fromEntries(
        rows.map(({ way, method, messages, bytes }) => [`${way} ${method}`, `${messages} messages, ${bytes} bytes`]),
    );
}
