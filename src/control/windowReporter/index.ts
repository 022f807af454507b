import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { FencedCall, FencedSender } from "../fencedSender/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";

/** What a reporter of windows works with. */
export interface WindowReporterParts {
    readonly log: ControlLog;
    readonly sender: FencedSender;
    readonly logger: Logger;
    /** The platform refuses reports with an old fencing token. */
    readonly platformChecksFence: boolean;
}

/** When a reporter looks again, in milliseconds. */
export interface WindowReporterPace {
    readonly pauseMs: number;
    /** After a report that was not taken; each further one doubles it. */
    readonly firstRetryMs: number;
    readonly lastRetryMs: number;
}

/** A closed window on its way to the platform. */
export interface DueReport {
    /** Names the window in log lines. */
    readonly name: string | number;
    readonly call: FencedCall;
    /** What the log takes once the platform has it. */
    readonly confirmation: unknown;
}

/**
 * Sends closed windows to the platform, the oldest first, until it confirms each.
 *
 * Guards against a window reported with two figures: what is sent comes from the closed window in the log, so a resend, also
 * a successor's, is equal to the first send byte for byte but for the fencing token.
 */
export abstract class WindowReporter extends HolderTask {
    private retryMs: number;

    constructor(private readonly parts: WindowReporterParts, private readonly pace: WindowReporterPace) {
        super();
        this.retryMs = pace.firstRetryMs;
    }

    /** The windows that the platform has not confirmed, the oldest first. */
    protected abstract listDue(term: HolderTerm): readonly DueReport[];

    async step(term: HolderTerm): Promise<number> {
        const { pauseMs, firstRetryMs } = this.pace;
        for (const due of this.listDue(term)) {
            if (!term.maySend(this.parts.platformChecksFence)) return pauseMs;
            const retryAfterMs = await this.report(due, term);
            if (retryAfterMs !== undefined) return retryAfterMs;
            this.retryMs = firstRetryMs;
        }
        return pauseMs;
    }

    /** @returns When to try again, in milliseconds; undefined when the platform has the report. */
    private async report({ name, call, confirmation }: DueReport, term: HolderTerm): Promise<number | undefined> {
        const { log, sender, logger, platformChecksFence } = this.parts;
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
        return reply?.retryAfterMs ?? this.growRetry();
    }

    private growRetry(): number {
        const { retryMs } = this;
        this.retryMs = Math.min(retryMs * 2, this.pace.lastRetryMs);
        return retryMs;
    }
}
