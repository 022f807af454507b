import { Clock } from "../../ports/index.js";
import { DemandReport, PoolReport } from "../demandReport/index.js";

/** Age at which a report expires, in milliseconds: three lost reports in a row. */
const STALE_AFTER_MS = 7_000;

interface ReceivedReport {
    readonly report: PoolReport;
    /** Monotonic time of its receipt, in milliseconds. */
    readonly heardAt: number;
}

/**
 * The latest demand report of each pool, kept only in the holder's memory.
 *
 * Prevents upstreams from being stopped for lack of reports: a new holder, or one that was partitioned from the entries, has no fresh
 * report of a pool and doesn't list it at all. "Unknown" can't be mistaken for "no demand", since a report contains a pool's demand and
 * its upstreams together.
 *
 * @example
 * table.record(report);
 * const pools = table.listFresh();
 */
export class DemandTable {
    private readonly reports = new Map<string, ReceivedReport>();

    constructor(private readonly clock: Clock) {}

    /** Records an entry's report; if the owner of a pool has changed, the report received last counts. */
    record({ region, pools }: DemandReport): void {
        const heardAt = this.clock.monotonic();
        for (const report of pools) this.reports.set(`${region}\n${report.pool}`, { report, heardAt });
    }

    /** Returns the reports of all pools that have a fresh one. */
    listFresh(): readonly PoolReport[] {
        const oldest = this.clock.monotonic() - STALE_AFTER_MS;
        for (const [key, { heardAt }] of this.reports) {
            if (heardAt < oldest) this.reports.delete(key);
        }
        return [...this.reports.values()].map(({ report }) => report);
    }
}
