import { Address } from "../../ports/index.js";
import { PLATFORM_PATHS, UsageReport } from "../../protocol/index.js";
import { ClosedWindow } from "../../usage/index.js";
import { ControlState } from "../controlState/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { PendingReport, WindowReporter, WindowReporterOptions } from "../windowReporter/index.js";

const TIMING = { pauseMs: 250, firstRetryMs: 250, lastRetryMs: 15_000 };

/** Options of `UsageReporter`. */
export interface UsageReporterOptions extends WindowReporterOptions {
    readonly state: ControlState;
    /** Address of the platform's API. */
    readonly platform: Address;
}

/** Reports closed usage windows to the platform, each under the report id that the log assigned to it. */
export class UsageReporter extends WindowReporter {
    readonly name = "usage-report";

    constructor(private readonly options: UsageReporterOptions) {
        super(options, TIMING);
    }

    protected listPending(term: HolderTerm): readonly PendingReport[] {
        const { state, platform } = this.options;
        return state.usage.listUnreported().map(closed => ({
            name: closed.reportId,
            call: { address: platform, path: PLATFORM_PATHS.usageReports, body: describeReport(closed, term) },
            confirmation: { kind: "usage.reported", reportId: closed.reportId },
        }));
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
