import { STARTS_METHOD, StartsReport } from "../../control/index.js";
import { Clock } from "../../ports/index.js";
import { TrueTime } from "../../time/index.js";
import { StartMeter } from "../../usage/index.js";
import { EncodedBody, PeerIdentity, PeerLink } from "../../wire/index.js";

/** How often counts are sent, in milliseconds: what an entry has counted since is lost with it. */
const SEND_EVERY_MS = 500;
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
}

/**
 * Tells each control process what this entry has counted, whole windows each time: whoever holds the lease next has the counts, and
 * a report that is lost is made up for by the next.
 */
export class StartsSender {
    private readonly sent = new Map<number, { readonly counts: string; readonly times: number; }>();

    constructor(private readonly options: StartsSenderOptions) {}

    /** Sends until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.options.clock.sleepToBeat(SEND_EVERY_MS, signal);
            this.sendOnce();
        }
    }

    /** Sends what there is now, without waiting for answers. */
    sendOnce(): void {
        const { self, meter, time, links } = this.options;
        const countedAt = time.now();
        const windows = meter.list(countedAt).filter(({ window, counts }) =>
            this.isDue(window, JSON.stringify(counts))
        );
        const { host, incarnation } = self;
        const report: StartsReport = { host, incarnation, countedAt, windows };
        const body = new EncodedBody(report);
        for (const link of links) link.notify(STARTS_METHOD, body);
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
