import { Logger } from "../../logging/index.js";
import { Clock, Disk } from "../../ports/index.js";
import { groupStarts, listStarts, StreamStartTable } from "../../resumption/index.js";
import { RecordJournal } from "../../store/index.js";
import { EntryRunKey, hasUsage, RunStartWindows, UsageBatchCommand, UsageReport } from "../../usage/index.js";
import { decodeValue, encodeValue, PeerRouter } from "../../wire/index.js";
import { ControlState } from "../controlState/index.js";
import { parseEntryCommand } from "../parseEntryCommand/index.js";

/** Peer method by which entries report usage; the body is a `UsageReport`, the reply a `UsageAck`. */
export const USAGE_REPORT_METHOD = "usage.report";
/** Peer method by which the holder reads the journal of another control process; the reply is a `JournalContent`. */
export const JOURNAL_READ_METHOD = "usage.read";

/** What a control process is for the control log. */
export interface JournalOwner {
    /** Identity of its data folder. */
    readonly storeId: string;
    /** Whether the folder belongs to a voter: only then does what it stores count for a majority. */
    readonly isVoter: boolean;
    /** Number of voters that the log has or is meant to have. */
    readonly voters: number;
    /** Version of the committed configuration that the process knows; undefined at processes of an earlier version. */
    readonly configurationVersion?: number;
}

/** Acknowledges what one control process has of a run's usage. */
export interface UsageAck extends JournalOwner {
    /** The run's usage up to this position is on the process's disk or in the control log. */
    readonly position: number;
    /** The run's usage up to this position is in the control log. */
    readonly recorded: number;
}

/** Usage that a control process has received and not seen in the control log. */
export interface JournalContent extends JournalOwner {
    readonly starts: readonly RunStartWindows[];
    readonly batches: readonly UsageBatchCommand[];
}

/** Options of `UsageJournal`. */
export interface UsageJournalOptions {
    readonly clock: Clock;
    readonly disk: Disk;
    readonly router: PeerRouter;
    readonly state: ControlState;
    readonly logger: Logger;
    /** Receives the starts of streams in reports and files. */
    readonly streamStarts: StreamStartTable;
    /** Returns what this process is for the control log. */
    readonly owner: () => JournalOwner;
    /** Called with the request starts of each report, before they are stored. */
    readonly onReport: (report: UsageReport) => void;
    /** Called with the request starts that the files contain when they are opened. */
    readonly onLoaded: (starts: RunStartWindows) => void;
}

interface StoredReport extends UsageReport {
    /** Monotonic time at which this process received or loaded it, in milliseconds. */
    readonly receivedAt: number;
}

/** Usage of one run of an entry. */
interface RunUsage {
    /** Position up to which the run's usage is durable here. */
    position: number;
    /** Stored reports that are not known to be in the control log, oldest first. */
    readonly reports: StoredReport[];
    /** Monotonic time of the run's last report, in milliseconds. */
    heardAt: number;
}

interface PendingWrite {
    readonly body: Uint8Array;
    readonly settle: (err: Error | undefined) => void;
}

const FOLDER = "usage";
/** Time between two syncs, in milliseconds, so that their number doesn't grow with that of requests. */
const MIN_SYNC_INTERVAL_MS = 5;
/** Minimum size of the files at which what is in the control log is removed from them, in bytes. */
const MIN_COMPACTION_BYTES = 256 * 1024;
/** Starts of a closed window are kept for this long, in milliseconds, so that the holder can still count them. */
const LATE_RETENTION_MS = 5_000;
/** A run whose usage is in the control log is forgotten after this time without a report, in milliseconds. */
const RUN_RETENTION_MS = 600_000;

/**
 * A control process's part in keeping usage durable: it stores what entries report on its own disk and acknowledges it, without the holder of the
 * control lease. Usage that a majority of the voters has stored survives the loss of power at all hosts, and the holder reads it from a majority.
 *
 * @example
 * const journal = await UsageJournal.open(options);
 * const ack = await journal.accept(report);
 */
export class UsageJournal {
    private readonly runs = new Map<EntryRunKey, RunUsage>();
    /** Batches read from other journals, by their run and number. */
    private readonly collected = new Map<string, UsageBatchCommand>();
    private pendingWrites: PendingWrite[] = [];
    private isWriting = false;
    /** Monotonic time of the last sync, in milliseconds. */
    private syncedAt = Number.NEGATIVE_INFINITY;
    /** Size of the files at which they are compacted next, in bytes. */
    private compactAboveBytes = MIN_COMPACTION_BYTES;
    private isClosed = false;

    private constructor(private readonly options: UsageJournalOptions, private readonly files: RecordJournal) {
        options.router.add(USAGE_REPORT_METHOD, body => this.accept(body as UsageReport));
        options.router.add(JOURNAL_READ_METHOD, () => this.read());
    }

    /**
     * Opens the journal in the data folder, which must be locked by this process.
     *
     * @throws StoreError when the files are damaged.
     */
    static async open(options: UsageJournalOptions): Promise<UsageJournal> {
        const { journal, bodies } = await RecordJournal.open(options.disk, FOLDER);
        const opened = new UsageJournal(options, journal);
        for (const body of bodies) opened.load(decodeValue(body) as UsageReport);
        return opened;
    }

    /**
     * Stores a report.
     *
     * @returns What is durable here, once the report is.
     * @throws StoreError when the report could not be stored, and Error when a batch in it is malformed.
     */
    async accept(report: UsageReport): Promise<UsageAck> {
        for (const batch of report.batches) parseEntryCommand(batch);
        const run = this.findOrAddRun(report);
        run.heardAt = this.options.clock.monotonic();
        if (isContiguous(run, report)) {
            this.options.onReport(report);
            this.addStreamStarts(report);
            if (report.upTo > run.position && hasUsage(report)) await this.store(run, report);
            run.position = Math.max(run.position, report.upTo);
        }
        this.prune(formatRunKey(report), run);
        return { ...this.options.owner(), position: run.position, recorded: findRecorded(run) };
    }

    /** Returns the usage that is not known to be in the control log. */
    read(): JournalContent {
        this.pruneAll();
        const starts = [...this.runs].flatMap(([run, { reports }]) => reports.map(({ windows }) => ({ run, windows })));
        return { ...this.options.owner(), starts, batches: this.listBatches() };
    }

    /** Lists the batches that are not known to be in the control log, including those read from other journals. */
    listBatches(): readonly UsageBatchCommand[] {
        this.pruneAll();
        const own = [...this.runs.values()].flatMap(({ reports }) => reports.flatMap(({ batches }) => batches));
        const all = new Map(this.collected);
        for (const batch of own) all.set(formatBatchKey(batch), batch);
        return [...all.values()];
    }

    /** Adds batches that were read from another journal. They are kept in memory only. */
    addCollected(batches: readonly UsageBatchCommand[]): void {
        for (const batch of batches) {
            if (!this.options.state.usage.hasCounted(batch)) this.collected.set(formatBatchKey(batch), batch);
        }
    }

    async close(): Promise<void> {
        this.isClosed = true;
        await this.files.close();
    }

    private addStreamStarts({ streams = [] }: UsageReport): void {
        for (const start of listStarts(streams)) this.options.streamStarts.add(start);
    }

    private load(report: UsageReport): void {
        this.addStreamStarts(report);
        if (report.host === NO_USAGE.host) return;
        const run = this.findOrAddRun(report);
        run.reports.push(this.toStored(report));
        run.position = Math.max(run.position, report.upTo);
        this.options.onLoaded({ run: formatRunKey(report), windows: report.windows });
    }

    private findOrAddRun(report: UsageReport): RunUsage {
        const key = formatRunKey(report);
        const run = this.runs.get(key) ?? { position: 0, reports: [], heardAt: this.options.clock.monotonic() };
        this.runs.set(key, run);
        return run;
    }

    private store(run: RunUsage, report: UsageReport): Promise<void> {
        run.reports.push(this.toStored(report));
        return new Promise((resolve, reject) => {
            const settle = (err: Error | undefined): void => err ? reject(err) : resolve();
            this.pendingWrites.push({ body: encodeValue(report), settle });
            void this.writePending();
        });
    }

    /** Leaves out the starts of streams, which are kept in their own table. */
    private toStored({ streams: _streams, ...report }: UsageReport): StoredReport {
        return { ...report, receivedAt: this.options.clock.monotonic() };
    }

    /** Writes one group of reports at a time; those that arrive meanwhile form the next group. */
    private async writePending(): Promise<void> {
        if (this.isWriting) return;
        this.isWriting = true;
        const { clock } = this.options;
        while (this.pendingWrites.length > 0) {
            const sinceSyncMs = clock.monotonic() - this.syncedAt;
            if (sinceSyncMs < MIN_SYNC_INTERVAL_MS) await clock.sleep(MIN_SYNC_INTERVAL_MS - sinceSyncMs);
            this.syncedAt = clock.monotonic();
            await this.writeGroup(this.pendingWrites.splice(0));
        }
        this.isWriting = false;
    }

    private async writeGroup(group: readonly PendingWrite[]): Promise<void> {
        const err = await this.tryWrite(group.map(({ body }) => body));
        if (err) this.options.logger.warn("usage-not-stored", { reports: group.length, problem: err.message });
        for (const { settle } of group) settle(err);
    }

    private async tryWrite(bodies: readonly Uint8Array[]): Promise<Error | undefined> {
        if (this.isClosed) return new Error("the journal is closed");
        try {
            await this.files.append(bodies);
            if (this.files.size > this.compactAboveBytes) await this.compact();
            return undefined;
        }
        catch (err) {
            return err as Error;
        }
    }

    /** Replaces the files by one with the reports that are not known to be in the control log, and the starts of streams. */
    private async compact(): Promise<void> {
        this.pruneAll();
        const reports: UsageReport[] = [...this.runs.values()].flatMap(run => run.reports);
        const streams = groupStarts(this.options.streamStarts.list());
        if (streams.length > 0) reports.push({ ...NO_USAGE, streams });
        await this.files.replaceAll(reports.map(encodeValue));
        this.compactAboveBytes = Math.max(MIN_COMPACTION_BYTES, 2 * this.files.size);
    }

    private pruneAll(): void {
        for (const [key, run] of this.runs) this.prune(key, run);
        for (const [key, batch] of this.collected) {
            if (this.options.state.usage.hasCounted(batch)) this.collected.delete(key);
        }
    }

    /** Drops a run's first reports as far as the control log has them, and a run that has long ended. */
    private prune(key: EntryRunKey, run: RunUsage): void {
        while (run.reports.length > 0 && this.isRecorded(key, run.reports[0])) run.reports.shift();
        const isOld = this.options.clock.monotonic() - run.heardAt > RUN_RETENTION_MS;
        if (run.reports.length === 0 && isOld) this.runs.delete(key);
    }

    /** Whether the control log has all usage of a report, or can't have it any more. */
    private isRecorded(run: EntryRunKey, { windows, batches, receivedAt }: StoredReport): boolean {
        const { starts, openStarts, usage } = this.options.state;
        const isOld = this.options.clock.monotonic() - receivedAt >= LATE_RETENTION_MS;
        return windows.every(counts => openStarts.covers(run, counts) || (isOld && starts.isClosed(counts.window)))
            && batches.every(batch => usage.hasCounted(batch));
    }
}

/** A report of no run, which carries the starts of streams when the files are compacted. */
const NO_USAGE: UsageReport = { host: "", incarnation: "", after: 0, upTo: 0, recorded: 0, windows: [], batches: [] };

/** Whether a report leaves out nothing that is neither stored here nor in the control log. */
function isContiguous({ position }: RunUsage, { after, recorded }: UsageReport): boolean {
    return after <= position || after <= recorded;
}

function findRecorded({ reports, position }: RunUsage): number {
    return reports[0]?.after ?? position;
}

function formatRunKey({ host, incarnation }: Pick<UsageReport, "host" | "incarnation">): EntryRunKey {
    return `${host} ${incarnation}`;
}

function formatBatchKey(batch: UsageBatchCommand): string {
    return `${formatRunKey(batch)} ${batch.sequence}`;
}
