import { STARTS_METHOD, StartsReport } from "../../control/index.js";
import { Clock, Timer } from "../../ports/index.js";
import { TrueTime } from "../../time/index.js";
import { StartMeter, StartWindow } from "../../usage/index.js";
import { EncodedBody, PeerIdentity, PeerLink } from "../../wire/index.js";

/** How often counts are sent to all control processes, in milliseconds. */
const SEND_EVERY_MS = 500;
/** How soon the holder hears of a new count, in milliseconds: what an entry has counted since is lost with it. */
const TELL_HOLDER_MS = 100;
/** Windows whose counts are the same as when they were last sent go out no more, after this many repeats. */
const REPEATS = 3;

/** What the sender is made of. */
export interface StartsSenderOptions {
    readonly clock: Clock;
    readonly self: PeerIdentity;
    readonly meter: StartMeter;
    readonly time: TrueTime;
    /** To the control processes. */
    readonly links: readonly Pick<PeerLink, "notify">[];
    /** To the one that answers this entry, the holder as a rule; it keeps what it is told where all processes may be lost. */
    readonly holderLink: () => Pick<PeerLink, "notify"> | undefined;
}

/**
 * Tells each control process what this entry has counted, whole windows each time: whoever holds the lease next has the counts, and
 * a report that is lost is made up for by the next. The holder is told sooner.
 */
export class StartsSender {
    private readonly sent = new Map<number, { readonly counts: string; readonly times: number; }>();
    private telling: Timer | undefined;
    /** True time of the last report that held all counts, in milliseconds since the epoch. */
    private wholeAt = 0;

    constructor(private readonly options: StartsSenderOptions) {
        options.meter.onNote(() => this.tellHolderSoon());
    }

    /** Sends until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToTick(SEND_EVERY_MS, signal);
            this.sendOnce();
        }
        this.telling?.cancel();
    }

    /** Sends what there is now, without waiting for answers. */
    sendOnce(): void {
        const { meter, time, links } = this.options;
        const countedAt = time.now();
        const windows = meter.list(countedAt).filter(({ window, counts }) =>
            this.isDue(window, JSON.stringify(counts))
        );
        this.wholeAt = countedAt;
        const body = this.encode(windows);
        for (const link of links) link.notify(STARTS_METHOD, body);
    }

    private tellHolderSoon(): void {
        const { clock } = this.options;
        this.telling ??= clock.after(clock.untilTick(TELL_HOLDER_MS), () => this.tellHolder());
    }

    private tellHolder(): void {
        const { meter, holderLink } = this.options;
        this.telling = undefined;
        holderLink()?.notify(STARTS_METHOD, this.encode(meter.takeNews()));
    }

    /** Only reports of all counts move the time up to which they are whole: of the others one may be lost. */
    private encode(windows: readonly StartWindow[]): EncodedBody {
        const { host, incarnation } = this.options.self;
        const report: StartsReport = { host, incarnation, countedAt: this.wholeAt, windows };
        return new EncodedBody(report);
    }

    private isDue(window: number, counts: string): boolean {
        const known = this.sent.get(window);
        const times = known?.counts === counts ? known.times + 1 : 1;
        this.sent.set(window, { counts, times });
        if (this.sent.size > MOST_REMEMBERED) this.sent.delete(this.sent.keys().next().value!);
        return times <= REPEATS;
    }
}

const MOST_REMEMBERED = 64;
