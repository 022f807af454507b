import { Clock } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";

type AnnouncedState = Announcement["state"];

/** Announced properties that don't depend on the kind of an upstream. */
export interface UpstreamIdentity {
    readonly id: string;
    readonly incarnation: number;
    /** Models or service that it serves at the start. */
    readonly pools: readonly string[];
    readonly zone: string;
    /** Price in micro-credits per hour. */
    readonly pricePerHour: number;
    readonly reclaimable: boolean;
    /** Whether it refuses orders with an old fencing token. */
    readonly checksFence: boolean;
    /** Version of its software; `DEFAULT_SOFTWARE` if left out. */
    readonly software?: string;
}

/** Version of an emulated upstream's software where none is given. */
export const DEFAULT_SOFTWARE = "1.0";

/** Time after the first leaving announcement in which new requests do not count as late, in milliseconds. */
const LEAVING_GRACE_MS = 2_000;

/** Announced state of an upstream: ready, then leaving, then gone. Counts requests that arrive too late. */
export class UpstreamState {
    private state: AnnouncedState = "ready";
    private leavingAtMs = 0;
    private reclaimAtMs: number | undefined;
    private lateCount = 0;

    /** @param clock - Times reclaim notices and late requests. */
    constructor(private readonly clock: Clock) {}

    get current(): AnnouncedState {
        return this.state;
    }

    /** Number of requests that arrived more than 2 s after the upstream announced that it leaves. */
    get lateRequests(): number {
        return this.lateCount;
    }

    /**
     * Changes from ready to leaving; no-op in other states.
     *
     * @param reclaimInMs - Time until the platform reclaims the upstream, in milliseconds; undefined without a reclaim.
     */
    leave(reclaimInMs?: number): void {
        if (this.state !== "ready") return;
        this.state = "leaving";
        this.leavingAtMs = this.clock.monotonic();
        if (reclaimInMs !== undefined) this.reclaimAtMs = this.leavingAtMs + reclaimInMs;
    }

    /** Changes to gone, the last state. */
    markGone(): void {
        this.state = "gone";
    }

    /** Records the arrival of a request. */
    recordRequest(): void {
        if (this.state !== "ready" && this.clock.monotonic() - this.leavingAtMs > LEAVING_GRACE_MS) this.lateCount++;
    }

    /** Returns the time left until the reclaim, in milliseconds; undefined without a reclaim. */
    reclaimInMs(): number | undefined {
        return this.reclaimAtMs === undefined ? undefined : Math.max(0, this.reclaimAtMs - this.clock.monotonic());
    }
}
