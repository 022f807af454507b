import { Dispatcher, SendGuard } from "../../dispatch/index.js";
import { PoolNumberings } from "../../eventStream/index.js";
import { HostId, ZoneId } from "../../ids/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock, HeldBytes, Random } from "../../ports/index.js";
import { CrashGuard, PartGuard } from "../../quarantine/index.js";
import { RequestRegistry } from "../../request/index.js";
import { StreamStartRegistry } from "../../resumption/index.js";
import { RouteTable } from "../../routing/index.js";
import { TrueTime } from "../../time/index.js";
import { SoftwareView, UpstreamHttp } from "../../upstream/index.js";
import { StartMeter, UsageDurability } from "../../usage/index.js";
import { CallDialect } from "../callDialect/index.js";
import { CallDurations } from "../callDurations/index.js";
import { RepeatBudget } from "../repeatBudget/index.js";

/** An entry's view of the fleet document. */
export abstract class RouteView {
    /** Whether keys may be accepted: the document is at most a few seconds out of date. */
    abstract isFresh(): boolean;

    /** Returns the newest received document; undefined before the first. */
    abstract routes(): RouteTable | undefined;

    /**
     * Waits for the first document since the start of the process.
     *
     * @param limitMs - Maximum wait, in milliseconds.
     * @param signal - Aborts the wait.
     */
    abstract waitForRoutes(limitMs: number, signal: AbortSignal): Promise<void>;
}

/** Dependencies of the functions that handle routed calls. */
export interface CallContext {
    readonly clock: Clock;
    readonly random: Random;
    /** Sends requests to upstreams. */
    readonly upstreamHttp: UpstreamHttp;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** The host of this process. */
    readonly self: HostId;
    readonly zone: ZoneId;
    readonly dialect: CallDialect;
    readonly view: RouteView;
    readonly dispatcher: Dispatcher;
    /** Checks grants by what upstreams state in their answers. */
    readonly sendGuard: SendGuard;
    /** The software versions of upstreams. */
    readonly software: SoftwareView;
    readonly requests: RequestRegistry;
    readonly repeats: RepeatBudget;
    /** Quarantine of requests that crash upstreams, by their whole content and by parts of their prompts. */
    readonly crashes: CrashGuard;
    readonly parts: PartGuard;
    readonly starts: StartMeter;
    /** How the streams of each pool number their events. */
    readonly numberings: PoolNumberings;
    /** Bounds what is held of upstreams' answers. */
    readonly heldBytes: HeldBytes;
    /** Remembers where streams began. */
    readonly streams: StreamStartRegistry;
    /** Holds back answers until their starts are durable. */
    readonly durability: UsageDurability;
    readonly time: TrueTime;
    /** Whether a planned stop has begun: each answer then closes its connection. */
    readonly isDraining: () => boolean;
    /** Whether further calls are refused: the load balancer has had time to notice the planned stop. */
    readonly isRefusing: () => boolean;
    /** Time for which calls may still run before a planned stop ends them, in milliseconds; infinite while none has begun. */
    readonly timeLeftMs: () => number;
    /** How long calls of each route last here. */
    readonly durations: CallDurations;
    /** Aborted when the process is about to exit: requests that have not begun are refused. */
    readonly exitSignal: AbortSignal;
}
