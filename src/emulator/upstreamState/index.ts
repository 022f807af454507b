import { Clock } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";

type State = Announcement["state"];

/** What a stand-in says of itself, beside what its kind adds. */
export interface UpstreamIdentity {
    readonly id: string;
    readonly incarnation: number;
    readonly pools: readonly string[];
    readonly zone: string;
    /** Micro-credits for an hour. */
    readonly pricePerHour: number;
    readonly reclaimable: boolean;
    readonly checksFence: boolean;
}

/** How long after the first word of leaving new work may still come, in milliseconds. */
const LEAVING_GRACE_MS = 2_000;

/** Whether an upstream takes work: ready, then leaving, then gone. */
export class UpstreamState {
    private state: State = "ready";
    private leftAt = 0;
    private reclaimAt: number | undefined;
    private late = 0;

    /** @param clock - Time for reclaim notices. */
    constructor(private readonly clock: Clock) {}

    get current(): State {
        return this.state;
    }

    /** How many requests came later than two seconds after the upstream said that it leaves. */
    get lateRequests(): number {
        return this.late;
    }

    /**
     * Begins to leave.
     *
     * @param reclaimInMs - When the platform takes the upstream back, if it does.
     */
    leave(reclaimInMs?: number): void {
        if (this.state !== "ready") return;
        this.state = "leaving";
        this.leftAt = this.clock.monotonic();
        if (reclaimInMs !== undefined) this.reclaimAt = this.leftAt + reclaimInMs;
    }

    /** Says the last word. */
    markGone(): void {
        this.state = "gone";
    }

    /** Notes that a request has come. */
    noteRequest(): void {
        if (this.state !== "ready" && this.clock.monotonic() - this.leftAt > LEAVING_GRACE_MS) this.late++;
    }

    /** The time left until the reclaim, for announcements. */
    reclaimInMs(): number | undefined {
        return this.reclaimAt === undefined ? undefined : Math.max(0, this.reclaimAt - this.clock.monotonic());
    }
}
