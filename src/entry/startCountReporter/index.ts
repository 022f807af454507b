import { STARTS_METHOD, StartsReport } from "../../control/index.js";
import { Incarnation } from "../../ids/index.js";
import { Clock, Timer } from "../../ports/index.js";
import { TrueTime } from "../../time/index.js";
import { StartMeter, StartWindowCounts } from "../../usage/index.js";
import { EncodedBody, PeerIdentity, PeerLink } from "../../wire/index.js";

/** Interval at which all counts are sent to the holder, in milliseconds. From these reports it knows up to when the counts are complete. */
const SEND_INTERVAL_MS = 500;
/** Every this many intervals, all control processes get the report, since another one may become the holder before the next. */
const TICKS_PER_BROADCAST = 4;
/** Delay until a new count is reported to the holder, in milliseconds; what an entry has counted since its last report is lost with the entry. */
const HOLDER_REPORT_DELAY_MS = 20;
/** A window whose counts are unchanged is sent this many times, then no more. */
const MAX_UNCHANGED_SENDS = 3;

/** Options of `StartCountReporter`. */
export interface StartCountReporterOptions {
    readonly clock: Clock;
    readonly self: PeerIdentity;
    readonly meter: StartMeter;
    readonly time: TrueTime;
    /** Links to the control processes. */
    readonly links: readonly Pick<PeerLink, "notify">[];
    /** Returns the link to the control process that answers this entry, normally the holder, which stores the reports durably. */
    readonly holderLink: () => Pick<PeerLink, "notify" | "peer"> | undefined;
}

/**
 * Reports this entry's counts of request starts to control processes. Each report has the totals of whole windows, so the next report makes up for
 * a lost one. The holder gets new counts soon, and stores them; the others get occasional reports, since the next holder receives the remaining
 * counts once it holds the lease.
 */
export class StartCountReporter {
    /** Windows sent to the holder alone. */
    private toHolder = new SentWindows();
    /** Incarnation of the control process that `toHolder` refers to. */
    private holderIncarnation: Incarnation | undefined;
    /** Windows sent to all control processes. */
    private readonly toAll = new SentWindows();
    private ticks = 0;
    private pendingReport: Timer | undefined;
    /** True time of the last report of all counts, in milliseconds since the epoch. */
    private wholeAt = 0;

    constructor(private readonly options: StartCountReporterOptions) {
        options.meter.onStart(() => this.scheduleHolderReport());
    }

    /** Sends reports until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(SEND_INTERVAL_MS, signal);
            if (this.ticks++ % TICKS_PER_BROADCAST === 0) this.sendToAll();
            else this.sendToHolder();
        }
        this.pendingReport?.cancel();
    }

    /**
     * Sends the current counts to all control processes, without waiting for answers.
     *
     * @param isLast - Whether the entry is stopping and counts no more.
     */
    sendToAll(isLast = false): void {
        const body = this.encode(this.listDue(this.toAll), isLast);
        for (const link of this.options.links) link.notify(STARTS_METHOD, body);
    }

    private sendToHolder(): void {
        const link = this.options.holderLink();
        if (!link?.peer) return;
        // Another holder, or one that has restarted, has not received any counts yet.
        if (link.peer.incarnation !== this.holderIncarnation) this.toHolder = new SentWindows();
        this.holderIncarnation = link.peer.incarnation;
        link.notify(STARTS_METHOD, this.encode(this.listDue(this.toHolder)));
    }

    private listDue(sent: SentWindows): readonly StartWindowCounts[] {
        const { meter, time } = this.options;
        this.wholeAt = time.now();
        return meter.list(this.wholeAt).filter(window => sent.isDue(window));
    }

    private scheduleHolderReport(): void {
        const { clock } = this.options;
        this.pendingReport ??= clock.after(clock.msUntilTick(HOLDER_REPORT_DELAY_MS), () => this.sendNewCounts());
    }

    private sendNewCounts(): void {
        const { meter, holderLink } = this.options;
        this.pendingReport = undefined;
        holderLink()?.notify(STARTS_METHOD, this.encode(meter.takeChanges()));
    }

    /** Encodes a report. Only reports of all counts advance `wholeAt`, since reports of new counts alone may be lost. */
    private encode(windows: readonly StartWindowCounts[], isLast = false): EncodedBody {
        const { host, incarnation } = this.options.self;
        const end = isLast ? { isLast } : {};
        const report: StartsReport = { host, incarnation, countedAt: this.wholeAt, windows, ...end };
        return new EncodedBody(report);
    }
}

/** Tracks how often each window was sent with its present counts. */
class SentWindows {
    private readonly sent = new Map<number, { readonly counts: string; readonly times: number; }>();

    /** Whether a window has not yet been sent often enough with its present counts; if so, it is recorded as sent. */
    isDue({ window, counts }: StartWindowCounts): boolean {
        const text = JSON.stringify(counts);
        const known = this.sent.get(window);
        const times = known?.counts === text ? known.times + 1 : 1;
        this.sent.set(window, { counts: text, times });
        if (this.sent.size > MAX_TRACKED_WINDOWS) this.sent.delete(this.sent.keys().next().value!);
        return times <= MAX_UNCHANGED_SENDS;
    }
}

/** Maximum number of windows tracked; the oldest are dropped. */
const MAX_TRACKED_WINDOWS = 64;
