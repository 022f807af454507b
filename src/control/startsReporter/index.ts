import { ControlLog } from "../../consensus/index.js";
import { Logger } from "../../logging/index.js";
import { ClosedStarts } from "../../usage/index.js";
import { FencedCall, FencedSender } from "../fencedSender/index.js";
import { HolderTask } from "../holderRunner/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { ControlState } from "../state/index.js";

const PAUSE_MS = 200;
const FIRST_RETRY_MS = 300;
const LAST_RETRY_MS = 2_000;
/** Older windows than this many are no longer sent: nobody takes them, and they would hold up the rest. */
const MOST_BACKLOG = 24;

/** What the reporter is made of. */
export interface StartsReporterOptions {
    readonly log: ControlLog;
    readonly state: ControlState;
    readonly sender: FencedSender;
    readonly logger: Logger;
    /** The platform refuses reports with an old fencing token. */
    readonly platformChecksFence: boolean;
    /** Writes a window as the platform takes it. */
    readonly describe: (closed: ClosedStarts, term: HolderTerm) => FencedCall;
}

/** Sends closed windows to the platform until it confirms them; what it sends comes from the log, so that a resend is equal. */
export class StartsReporter extends HolderTask {
    readonly name = "starts-reporter";
    private retryMs = FIRST_RETRY_MS;

    constructor(private readonly options: StartsReporterOptions) {
        super();
    }

    async step(term: HolderTerm): Promise<number> {
        const { state, platformChecksFence } = this.options;
        for (const closed of state.starts.listUnreported().slice(-MOST_BACKLOG)) {
            if (!term.maySend(platformChecksFence)) return PAUSE_MS;
            if (!await this.report(closed, term)) return this.growRetry();
            this.retryMs = FIRST_RETRY_MS;
        }
        return PAUSE_MS;
    }

    private async report(closed: ClosedStarts, term: HolderTerm): Promise<boolean> {
        const { log, sender, logger, platformChecksFence, describe } = this.options;
        const { window } = closed;
        const sent = await sender.send(describe(closed, term), () => term.maySend(platformChecksFence));
        const status = sent.map(reply => reply.status).orDefault(0);
        if (status < 200 || status >= 300) {
            const problem = sent.caseOf({ Left: err => err.message, Right: () => `status ${status}` });
            logger.warn("starts-report-not-taken", { window, token: term.token, problem });
            return false;
        }
        await log.propose({ kind: "starts.reported", window });
        logger.info("starts-reported", { window, token: term.token });
        return true;
    }

    private growRetry(): number {
        const retryMs = this.retryMs;
        this.retryMs = Math.min(retryMs * 2, LAST_RETRY_MS);
        return retryMs;
    }
}
