/**
 * Why this system answers a call with an error. Kinds with `notRun` guarantee that no upstream has run, or will run,
 * the call.
 */
export type CallErrorKind =
    | "malformed"
    | "no-route"
    | "key-missing"
    | "key-unknown"
    | "too-large"
    | "header-too-large"
    | "body-timeout"
    | "no-view"
    | "over-capacity"
    | "refused"
    | "quarantined"
    | "not-resumable"
    | "stopping"
    | "stopping-running"
    | "timeout-waiting"
    | "timeout-running"
    | "upstream-lost"
    | "internal";

interface ErrorSpec {
    readonly status: number;
    /** Whether the caller can rely on the call not having run. */
    readonly notRun: boolean;
}

const ERROR_SPECS: Readonly<Record<CallErrorKind, ErrorSpec>> = {
    "malformed": { status: 400, notRun: true },
    "no-route": { status: 404, notRun: true },
    "key-missing": { status: 401, notRun: true },
    "key-unknown": { status: 401, notRun: true },
    "too-large": { status: 413, notRun: true },
    "header-too-large": { status: 431, notRun: true },
    "body-timeout": { status: 408, notRun: true },
    "no-view": { status: 503, notRun: true },
    "over-capacity": { status: 503, notRun: true },
    "refused": { status: 503, notRun: true },
    "quarantined": { status: 503, notRun: true },
    "not-resumable": { status: 503, notRun: true },
    "stopping": { status: 503, notRun: true },
    "timeout-waiting": { status: 503, notRun: true },
    "timeout-running": { status: 504, notRun: false },
    "stopping-running": { status: 502, notRun: false },
    "upstream-lost": { status: 502, notRun: false },
    "internal": { status: 500, notRun: false },
};

/** Retry delay of calls that a stopping host does not run, in milliseconds: a new connection leads to another host. */
const OTHER_HOST_RETRY_MS = 100;

/** An error that this system sends as the answer of a routed call. */
export class CallError extends Error {
    /**
     * @param kind - Selects the status and `notRun`.
     * @param detail - A message for people; contains no key.
     * @param retryAfterMs - Delay before a retry, in milliseconds, when a retry can help.
     */
    constructor(readonly kind: CallErrorKind, detail: string, readonly retryAfterMs?: number) {
        super(detail);
    }

    get status(): number {
        return ERROR_SPECS[this.kind].status;
    }

    get notRun(): boolean {
        return ERROR_SPECS[this.kind].notRun;
    }
}

/**
 * Creates the error of a call that this host does not run to its end, because it is stopping.
 *
 * @param hasBegun - Whether an upstream has, or may have, begun to run the call.
 */
export function makeStoppingError(hasBegun: boolean): CallError {
    return new CallError(hasBegun ? "stopping-running" : "stopping", "this host is stopping", OTHER_HOST_RETRY_MS);
}
