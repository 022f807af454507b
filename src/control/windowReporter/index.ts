import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { FencedCall, FencedSender } from "../fencedSender/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";

/** Options of a `WindowReporter`. */
export interface WindowReporterOptions {
    readonly log: ControlLog;
    readonly sender: FencedSender;
    readonly logger: Logger;
    /** The platform refuses reports with an outdated fencing token. */
    readonly platformChecksFence: boolean;
}

/** Delays of a reporter, in milliseconds. */
export interface WindowReporterTiming {
    /** Interval between checks for pending reports. */
    readonly pauseMs: number;
    /** Delay after a report that was not accepted; doubled with each further one. */
    readonly firstRetryMs: number;
    /** Upper limit of the doubled delay. */
    readonly lastRetryMs: number;
}

/** A report of a closed window that the platform has not confirmed yet. */
export interface PendingReport {
    /** Identifies the window in log lines. */
    readonly name: string | number;
    readonly call: FencedCall;
    /** Command proposed to the control log once the platform has accepted the report. */
    readonly confirmation: unknown;
}

/**
 * Sends closed windows to the platform, oldest first, until it confirms each.
 *
 * Prevents a window from being reported with two different sums: reports are built from the closed window in the log, so a resend,
 * including one by a later holder, is byte for byte equal to the first one except for the fencing token.
 */
export abstract class WindowReporter extends HolderTask {
    private retryDelayMs: number;

    constructor(
        private readonly reporterOptions: WindowReporterOptions,
        private readonly timing: WindowReporterTiming,
    ) {
        super();
        this.retryDelayMs = timing.firstRetryMs;
    }

    /** Lists the reports that the platform has not confirmed, oldest first. */
    protected abstract listPending(term: HolderTerm): readonly PendingReport[];

    async step(term: HolderTerm): Promise<number> {
        const { pauseMs, firstRetryMs } = this.timing;
        for (const pending of this.listPending(term)) {
            if (!term.maySend(this.reporterOptions.platformChecksFence)) return pauseMs;
            const retryAfterMs = await this.report(pending, term);
            if (retryAfterMs !== undefined) return retryAfterMs;
            this.retryDelayMs = firstRetryMs;
        }
        return pauseMs;
    }

    /** @returns Delay until the next attempt, in milliseconds; undefined when the platform has accepted the report. */
    private async report({ name, call, confirmation }: PendingReport, term: HolderTerm): Promise<number | undefined> {
        const { log, sender, logger, platformChecksFence } = this.reporterOptions;
        const { token } = term;
        const sent = await sender.send(call, () => term.maySend(platformChecksFence));
        const reply = sent.toMaybe().extract();
        if (reply && reply.status >= 200 && reply.status < 300) {
            await log.propose(confirmation);
            logger.info(`${this.name}-sent`, { window: name, token });
            return undefined;
        }
        const problem = sent.caseOf({ Left: err => err.message, Right: ({ status }) => `status ${status}` });
        logger.warn(`${this.name}-not-taken`, { window: name, token, problem });
        return reply?.retryAfterMs ?? this.increaseRetryDelay();
    }

    private increaseRetryDelay(): number {
        const { retryDelayMs: retryDelayMs } = this;
        this.retryDelayMs = Math.min(retryDelayMs * 2, this.timing.lastRetryMs);
        return retryDelayMs;
    }
}
