import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { Address } from "../../ports/index.js";
import { PLATFORM_PATHS, UsageReport } from "../../protocol/index.js";
import { ClosedWindow } from "../../usage/index.js";
import { FencedSender } from "../fencedSender/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { ControlState } from "../state/index.js";

const PAUSE_MS = 250;
const FIRST_RETRY_MS = 250;
const LAST_RETRY_MS = 15_000;

/** What the reporter is made of. */
export interface UsageReporterOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly sender: FencedSender;
    readonly logger: Logger;
    readonly platform: Address;
    /** The platform refuses reports with an old fencing token. */
    readonly platformChecksFence: boolean;
}

/**
 * Sends closed windows to the platform until it confirms them.
 *
 * Guards against a window reported with two figures: the figures and the report id come from the closed window in the log,
 * so a resend, also a successor's, is equal to the first send byte for byte but for the fencing token.
 */
export class UsageReporter extends HolderTask {
    readonly name = "usage-reporter";
    private retryMs = FIRST_RETRY_MS;

    constructor(private readonly options: UsageReporterOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { state, platformChecksFence } = this.options;
        for (const closed of state.usage.listUnreported()) {
            if (!term.maySend(platformChecksFence)) return PAUSE_MS;
            const retryAfterMs = await this.report(closed, term);
            if (retryAfterMs !== undefined) return retryAfterMs;
            this.retryMs = FIRST_RETRY_MS;
        }
        return PAUSE_MS;
    }

    /** @returns When to try again, in milliseconds; undefined when the platform has the report. */
    private async report(closed: ClosedWindow, term: HolderTerm): Promise<number | undefined> {
        const { log, sender, logger, platform, platformChecksFence } = this.options;
        const call = { address: platform, path: PLATFORM_PATHS.usageReports, body: describeReport(closed, term) };
        const sent = await sender.send(call, () => term.maySend(platformChecksFence));
        const reply = sent.toMaybe().extract();
        if (reply && reply.status >= 200 && reply.status < 300) {
            await log.propose({ kind: "usage.reported", reportId: closed.reportId });
            return undefined;
        }
        const error = sent.caseOf({ Left: err => err.message, Right: ({ status }) => `status ${status}` });
        logger.warn("usage-report-not-taken", { report: closed.reportId, error });
        return reply?.retryAfterMs ?? this.growRetry();
    }

    private growRetry(): number {
        const retryMs = this.retryMs;
        this.retryMs = Math.min(retryMs * 2, LAST_RETRY_MS);
        return retryMs;
    }
}

function describeReport(closed: ClosedWindow, term: HolderTerm): UsageReport {
    return {
        report_id: closed.reportId,
        fencing_token: term.token,
        window_start: closed.window,
        window_ms: closed.windowMs,
        lines: [...closed.lines],
    };
}
