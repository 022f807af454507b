import { findVoters, ReplicatedLog } from "../../consensus/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Clock, Disk } from "../../ports/index.js";
import { StreamStartTable } from "../../resumption/index.js";
import { UsageReport } from "../../usage/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlState } from "../controlState/index.js";
import { RoutingOptions } from "../routingService/index.js";
import { serveStreamStarts } from "../serveStreamStarts/index.js";
import { StartsTable } from "../startsTable/index.js";
import { JournalOwner, UsageJournal } from "../usageJournal/index.js";

/** Options of `openUsageJournal`. */
export interface OpenUsageJournalOptions {
    readonly clock: Clock;
    /** The data folder, locked by the log. */
    readonly disk: Disk;
    readonly logger: Logger;
    readonly log: ReplicatedLog;
    readonly router: PeerRouter;
    readonly state: ControlState;
    /** Receives the request starts in reports and files. */
    readonly startsTable: StartsTable;
    /** Closes the journal; closed if the journal can't be opened. */
    readonly lifecycle: Lifecycle;
    readonly routing?: Pick<RoutingOptions, "voters">;
}

/**
 * Opens the usage journal of a control process.
 *
 * @throws StoreError when its files are damaged.
 * @example
 * const journal = await openUsageJournal({ ...options, log, router, state, startsTable, lifecycle });
 */
export async function openUsageJournal(options: OpenUsageJournalOptions): Promise<UsageJournal> {
    const { clock, router, log, startsTable, lifecycle, routing } = options;
    const streamStarts = new StreamStartTable(clock);
    serveStreamStarts(router, streamStarts);
    const targetVoters = routing?.voters ?? 0;
    try {
        const journal = await UsageJournal.open({
            ...options,
            streamStarts,
            owner: () => describeOwner(log, targetVoters),
            onReport: report => recordStarts(startsTable, report),
            onLoaded: ({ run, windows }) => startsTable.merge(run, windows),
        });
        lifecycle.addCleanUp(() => journal.close());
        return journal;
    }
    catch (err) {
        await lifecycle.close();
        throw err;
    }
}

function describeOwner(log: ReplicatedLog, targetVoters: number): JournalOwner {
    const { storeId } = log;
    const voters = findVoters(log.configuration());
    return {
        storeId,
        isVoter: voters.some(voter => voter.storeId === storeId),
        voters: Math.max(voters.length, targetVoters),
        configurationVersion: log.committedConfiguration().version,
    };
}

function recordStarts(table: StartsTable, { countedAt, ...report }: UsageReport): void {
    if (countedAt === undefined) table.merge(`${report.host} ${report.incarnation}`, report.windows);
    else table.record({ ...report, countedAt });
}
