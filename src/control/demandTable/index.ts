import { Clock } from "../../ports/index.js";
import { DemandReport, PoolReport } from "../demandReport/index.js";

/** Three reports lost in a row make a pool unknown, in milliseconds. */
const STALE_AFTER_MS = 7_000;

interface HeardReport {
    readonly report: PoolReport;
    /** Monotonic time, in milliseconds. */
    readonly heardAt: number;
}

/**
 * The latest report of each pool, in the holder's memory alone.
 *
 * Guards against upstreams stopped for want of news: a new holder, and one that was cut off from the entries, has no fresh
 * report of a pool and so does not list it at all. "Unknown" can't be taken for "no demand", since a report names the pool's
 * demand and its upstreams together.
 *
 * @example
 * table.take(report);
 * const pools = table.listFresh();
 */
export class DemandTable {
    private readonly heard = new Map<string, HeardReport>();

    constructor(private readonly clock: Clock) {}

    /** Takes what an entry reports; of a pool whose owner has changed, the newer owner's word stands. */
    take({ region, pools }: DemandReport): void {
        const heardAt = this.clock.monotonic();
        for (const report of pools) this.heard.set(`${region}\n${report.pool}`, { report, heardAt });
    }

    /** The pools of which there is a fresh report. */
    listFresh(): readonly PoolReport[] {
        const oldest = this.clock.monotonic() - STALE_AFTER_MS;
        for (const [name, { heardAt }] of this.heard) {
            if (heardAt < oldest) this.heard.delete(name);
        }
        return [...this.heard.values()].map(({ report }) => report);
    }
}
