import { AttemptBudget, Dispatcher, SendGuard } from "../../dispatch/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock, Random } from "../../ports/index.js";
import { CrashGuard, PartGuard } from "../../quarantine/index.js";
import { RequestRegistry } from "../../request/index.js";
import { SoftwareView, UpstreamHttp } from "../../upstream/index.js";
import { ControlAccess } from "../controlAccess/index.js";
import { SpendLimiter } from "../spendLimiter/index.js";
import { UsageMeter } from "../usageMeter/index.js";

/** Size limits, timeouts and attempt limits of an entry process. */
export interface EntryLimits {
    /** Maximum size of a request's body or of a service's answer, in bytes. */
    readonly bodyBytes: number;
    /** Maximum number of concurrent requests. */
    readonly requests: number;
    /** Maximum number of answer tokens of a request that sets no `max_tokens`. */
    readonly defaultMaxTokens: number;
    /** Timeout for connecting to an upstream, in milliseconds. */
    readonly connectMs: number;
    /** Maximum time from sending a request to the engine's first token, in milliseconds. */
    readonly firstTokenStallMs: number;
    /** Maximum time between two tokens from an engine, in milliseconds. */
    readonly tokenStallMs: number;
    /** Timeout for a service's answer, in milliseconds. */
    readonly serviceMs: number;
    /** Maximum number of attempts per request, the first included. */
    readonly attempts: number;
    /** Timeout for committing a call record to the control log, in milliseconds. */
    readonly commandMs: number;
}

/** Limits for which the settings have no value. */
export const DEFAULT_ENTRY_LIMITS: EntryLimits = {
    bodyBytes: 4 * 1024 * 1024,
    requests: 4_000,
    defaultMaxTokens: 1_024,
    connectMs: 1_000,
    firstTokenStallMs: 10_000,
    tokenStallMs: 3_000,
    serviceMs: 15_000,
    attempts: 4,
    commandMs: 3_000,
};

/** Dependencies shared by the functions that serve callers. */
export interface EntryContext {
    readonly clock: Clock;
    readonly random: Random;
    /** Sends requests to upstreams. */
    readonly upstreamHttp: UpstreamHttp;
    readonly control: ControlAccess;
    readonly dispatcher: Dispatcher;
    readonly requests: RequestRegistry;
    readonly meter: UsageMeter;
    readonly spendLimiter: SpendLimiter;
    /** Budget for attempts beyond the first. */
    readonly retryBudget: AttemptBudget;
    /** Quarantine of requests that crash upstreams. */
    readonly crashGuard: CrashGuard;
    /** Quarantine of parts of prompts that crash upstreams. */
    readonly partGuard: PartGuard;
    /** Checks grants by what upstreams state in their answers. */
    readonly sendGuard: SendGuard;
    /** The software versions of upstreams. */
    readonly software: SoftwareView;
    readonly metrics: Metrics;
    readonly logger: Logger;
    readonly limits: EntryLimits;
    /** Whether a planned stop has begun: readiness fails, so that the load balancer sends no more callers. */
    readonly isDraining: () => boolean;
    /** Whether new requests are refused: the load balancer has had time to notice the planned stop. */
    readonly isRefusing: () => boolean;
    /** Aborted when the process is about to exit: requests that have not begun are refused. */
    readonly exitSignal: AbortSignal;
}
