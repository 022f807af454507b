import { USAGE_REPORT_METHOD, UsageAck } from "../../control/index.js";
import { Lifecycle, WaitCondition } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock } from "../../ports/index.js";
import {
    computeMaxHoldMs,
    HoldLimits,
    PositionCounter,
    UsageChanges,
    UsageDurability,
    UsageReport,
} from "../../usage/index.js";
import { EncodedBody, PeerIdentity, PeerLink } from "../../wire/index.js";
import { findMajorityPosition } from "../majorityPosition/index.js";
import { UndurableUsage } from "../undurableUsage/index.js";

/** Counts usage and numbers it by the run's positions. */
export interface UsageSource {
    /** Returns what was counted after a position. */
    listChanges(after: number): Partial<UsageChanges>;

    /** Drops what the control log has. */
    dropRecorded(position: number): void;
}

/** Keeps a report on another entry while it is not durable. */
export abstract class UsageBackup {
    /** Sends a report to another entry; resolves to whether that entry holds it. */
    abstract hold(report: UsageReport): Promise<boolean>;

    /** Releases what is held up to a position. */
    abstract release(position: number): void;
}

/** A link to a control process. */
export type UsageLink = Pick<PeerLink, "isOpen" | "peer" | "call" | "notify">;

/** Options of `UsageReplicator`. */
export interface UsageReplicatorOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: PeerIdentity;
    readonly positions: PositionCounter;
    /** Links to the control processes; the array may change while the replicator runs. */
    readonly links: readonly UsageLink[];
    readonly backup: UsageBackup;
    /** Returns the link to the presumed holder of the control lease. */
    readonly holderLink: () => Pick<UsageLink, "peer"> | undefined;
    /** Returns true time, in milliseconds since the epoch. */
    readonly trueNow: () => number;
}

/** What is known of one control process. */
interface LinkState {
    /** Position up to which the process has this run's usage. */
    position: number;
    ack: UsageAck | undefined;
    isSending: boolean;
    /** Number of reports in a row that failed. */
    failures: number;
    /** Whether a report is due although nothing was counted. */
    isReportDue: boolean;
}

/** An encoded report, and the monotonic time at which it was made, in milliseconds. */
interface EncodedReport {
    readonly after: number;
    readonly upTo: number;
    readonly madeAt: number;
    readonly body: EncodedBody;
}

const REPORT_TIMEOUT_MS = 1_000;
/** Interval of the reports that tell the holder up to when the counts are complete, in milliseconds. */
const TICK_MS = 500;
/** Every this many ticks, all control processes get a report, since another one may become the holder before the next. */
const TICKS_PER_BROADCAST = 4;
/** Delay after a report that failed, in milliseconds; doubled with each further one. */
const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;
/** Usage that is not durable for this long goes to another entry too, in milliseconds. */
const BACKUP_AFTER_MS = 100;
/**
 * When usage has not become durable for this long, answers no longer wait for it, only for the other entry, and not at all when none took the last
 * backup; in milliseconds.
 */
const STALLED_AFTER_MS = 1_000;
const LOG_INTERVAL_MS = 1_000;
/** Time for which an encoded report is used for other control processes, in milliseconds. */
const MAX_ENCODED_AGE_MS = 20;

/**
 * Makes this entry's usage durable: sends it to all control processes, each of which stores it on its disk. Usage that a majority of the voters has
 * stored survives the loss of power at all hosts. No holder of the control lease is needed.
 *
 * Prevents answers whose usage is lost: the end of an answer waits until its usage is durable. One report at a time is on its way to each control
 * process; all that is counted meanwhile goes with the next one.
 *
 * @example
 * replicator.add(meter);
 * await replicator.waitDurable(position, { objectiveLeftMs: 250, deadlineLeftMs: 4_000 });
 */
export class UsageReplicator extends UsageDurability {
    private readonly sources: UsageSource[] = [];
    private readonly states = new WeakMap<UsageLink, LinkState>();
    private readonly undurable: UndurableUsage;
    private readonly progress = new WaitCondition();
    private readonly lifecycle = new Lifecycle();
    private countsStarts = false;
    private durablePosition = 0;
    /** Position up to which the control log has this run's usage. */
    private recordedPosition = 0;
    private backedUpPosition = 0;
    private isBackingUp = false;
    /** Whether no other entry took the last backup. */
    private hasBackupFailed = false;
    private ticks = 0;
    private loggedAt = Number.NEGATIVE_INFINITY;
    /** The report encoded last, which most links get. */
    private encoded: EncodedReport | undefined;

    constructor(private readonly options: UsageReplicatorOptions) {
        super();
        this.undurable = new UndurableUsage(options.clock);
    }

    /** Number of positions that are not durable yet. */
    get backlog(): number {
        return this.options.positions.last - this.durablePosition;
    }

    /** Adds a source, whose changes are announced by `notifyChange`. */
    add(source: UsageSource): void {
        this.sources.push(source);
    }

    /** States in each report up to when the run's request starts are complete. */
    startCountingStarts(): void {
        this.countsStarts = true;
    }

    /** Called when a source has counted usage. */
    notifyChange(): void {
        this.undurable.add(this.options.positions.last);
        this.sendToAll();
    }

    /** Sends reports until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock, metrics } = this.options;
        while (!signal.aborted) {
            await clock.sleepToTick(TICK_MS, signal);
            metrics.gauge("usage_undurable_age_ms", Math.round(this.undurable.ageMs));
            if (this.countsStarts) this.markReportsDue();
            this.sendToAll();
            if (this.undurable.ageMs > BACKUP_AFTER_MS) void this.backUp();
        }
        await this.lifecycle.close();
    }

    async waitDurable(position: number, limits: HoldLimits): Promise<void> {
        const { clock, metrics } = this.options;
        if (this.durablePosition >= position) return;
        const startedAt = clock.monotonic();
        const maxHoldMs = computeMaxHoldMs(limits);
        await this.waitSecured(position, startedAt + maxHoldMs);
        metrics.histogram("usage_hold_ms", clock.monotonic() - startedAt);
        if (this.durablePosition < position) this.recordUndurableAnswer(maxHoldMs);
    }

    /**
     * Waits until all usage is durable.
     *
     * @returns False when the signal was aborted first.
     */
    async drain(signal: AbortSignal): Promise<boolean> {
        while (this.backlog > 0 && !signal.aborted) await this.progress.wait(this.options.clock, TICK_MS, signal);
        return this.backlog === 0;
    }

    /** Tells all control processes that this run counts no more. */
    sendLast(): void {
        for (const link of this.options.links) {
            const { position } = this.stateOf(link);
            link.notify(USAGE_REPORT_METHOD, { ...this.makeReport(position), isLast: true });
        }
    }

    /** Sends pending reports to all control processes, for instance when a link has opened. */
    sendToAll(): void {
        for (const link of this.options.links) void this.sendPending(link);
    }

    private markReportsDue(): void {
        const isBroadcast = this.ticks++ % TICKS_PER_BROADCAST === 0;
        const holder = this.options.holderLink()?.peer;
        for (const link of this.options.links) {
            if (isBroadcast || (holder && link.peer?.host === holder.host)) this.stateOf(link).isReportDue = true;
        }
    }

    /** Sends reports to one control process, one after the other, until it has everything. */
    private async sendPending(link: UsageLink): Promise<void> {
        const state = this.stateOf(link);
        if (state.isSending) return;
        state.isSending = true;
        while (this.hasPending(link, state)) {
            const isSent = await this.sendReport(link, state);
            state.failures = isSent ? 0 : state.failures + 1;
            if (!isSent) await this.pauseAfter(state);
        }
        state.isSending = false;
    }

    private pauseAfter({ failures }: LinkState): Promise<void> {
        const delayMs = Math.min(MAX_RETRY_DELAY_MS, MIN_RETRY_DELAY_MS * 2 ** (failures - 1));
        return this.options.clock.sleep(delayMs, this.lifecycle.signal);
    }

    private hasPending(link: UsageLink, { position, isReportDue }: LinkState): boolean {
        if (this.lifecycle.signal.aborted || !link.isOpen || !this.options.links.includes(link)) return false;
        return isReportDue || position < this.options.positions.last;
    }

    private async sendReport(link: UsageLink, state: LinkState): Promise<boolean> {
        const after = Math.max(state.position, this.recordedPosition);
        state.isReportDue = false;
        const answer = await link.call(USAGE_REPORT_METHOD, this.encodeReport(after), REPORT_TIMEOUT_MS);
        answer.ifRight(ack => this.applyAck(state, ack as UsageAck));
        return answer.isRight();
    }

    private applyAck(state: LinkState, ack: UsageAck): void {
        state.ack = ack;
        state.position = ack.position;
        this.advanceRecorded(ack.recorded);
        const acks = this.options.links.flatMap(link => this.states.get(link)?.ack ?? []);
        this.advanceDurable(Math.max(this.recordedPosition, findMajorityPosition(acks)));
    }

    private advanceRecorded(position: number): void {
        if (position <= this.recordedPosition) return;
        this.recordedPosition = position;
        for (const source of this.sources) source.dropRecorded(position);
    }

    private advanceDurable(position: number): void {
        if (position <= this.durablePosition) return;
        const { metrics, backup } = this.options;
        this.durablePosition = position;
        for (const ms of this.undurable.removeUpTo(position)) metrics.histogram("usage_durable_ms", ms);
        if (this.backedUpPosition > 0 && this.backedUpPosition <= position) {
            backup.release(position);
            this.backedUpPosition = 0;
        }
        this.progress.notifyAll();
    }

    /** Waits until usage up to a position is durable, or another entry holds it, or the time is over. */
    private async waitSecured(position: number, until: number): Promise<void> {
        const { clock } = this.options;
        for (;;) {
            const now = clock.monotonic();
            if (Math.max(this.durablePosition, this.backedUpPosition) >= position || now >= until) return;
            const isStalled = this.undurable.ageMs >= STALLED_AFTER_MS;
            if (isStalled && this.hasBackupFailed) return;
            const backupInMs = isStalled ? 0 : BACKUP_AFTER_MS - this.undurable.ageMs;
            if (backupInMs <= 0) void this.backUp();
            const waitMs = backupInMs > 0 ? Math.min(until - now, backupInMs) : until - now;
            await this.progress.wait(clock, waitMs, this.lifecycle.signal);
            if (this.lifecycle.signal.aborted) return;
        }
    }

    /** Sends what is not durable to another entry. */
    private async backUp(): Promise<void> {
        if (this.isBackingUp || this.backedUpPosition >= this.options.positions.last) return;
        this.isBackingUp = true;
        const report = this.makeReport(this.durablePosition);
        const isHeld = await this.options.backup.hold(report);
        this.isBackingUp = false;
        this.hasBackupFailed = !isHeld;
        if (!isHeld) return;
        this.backedUpPosition = report.upTo;
        if (this.durablePosition >= report.upTo) this.options.backup.release(report.upTo);
        this.progress.notifyAll();
    }

    private recordUndurableAnswer(heldMs: number): void {
        const { clock, logger, metrics } = this.options;
        metrics.count("answers_before_durable", 1);
        const now = clock.monotonic();
        if (now - this.loggedAt < LOG_INTERVAL_MS) return;
        this.loggedAt = now;
        logger.warn("usage-not-durable", {
            positions: this.backlog,
            ageMs: Math.round(this.undurable.ageMs),
            heldMs: Math.round(heldMs),
            backedUp: this.backedUpPosition >= this.options.positions.last,
        });
    }

    private encodeReport(after: number): EncodedBody {
        const { clock, positions } = this.options;
        const { encoded } = this;
        const madeAt = clock.monotonic();
        const isSame = encoded?.after === after && encoded.upTo === positions.last;
        if (isSame && madeAt - encoded.madeAt < MAX_ENCODED_AGE_MS) return encoded.body;
        const report = this.makeReport(after);
        this.encoded = { after, upTo: report.upTo, madeAt, body: new EncodedBody(report) };
        return this.encoded.body;
    }

    private makeReport(after: number): UsageReport {
        const { self: { host, incarnation }, positions, trueNow } = this.options;
        const changes = this.sources.map(source => source.listChanges(after));
        const streams = changes.flatMap(each => each.streams ?? []);
        return {
            host,
            incarnation,
            after,
            upTo: positions.last,
            recorded: this.recordedPosition,
            windows: changes.flatMap(({ windows = [] }) => windows),
            batches: changes.flatMap(({ batches = [] }) => batches),
            ...(streams.length > 0 ? { streams } : {}),
            ...(this.countsStarts ? { countedAt: trueNow() } : {}),
        };
    }

    private stateOf(link: UsageLink): LinkState {
        const known = this.states.get(link);
        if (known) return known;
        const state = {
            position: 0,
            ack: undefined,
            isSending: false,
            failures: 0,
            isReportDue: false,
        };
        this.states.set(link, state);
        return state;
    }
}
