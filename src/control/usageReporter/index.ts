import { Address } from "../../ports/index.js";
import { PLATFORM_PATHS, UsageReport } from "../../protocol/index.js";
import { ClosedWindow } from "../../usage/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { ControlState } from "../state/index.js";
import { DueReport, WindowReporter, WindowReporterParts } from "../windowReporter/index.js";

const PACE = { pauseMs: 250, firstRetryMs: 250, lastRetryMs: 15_000 };

/** What the reporter is made of. */
export interface UsageReporterOptions extends WindowReporterParts {
    readonly state: ControlState;
    readonly platform: Address;
}

/** Reports closed windows of usage, each under the report id that the log gave it. */
export class UsageReporter extends WindowReporter {
    readonly name = "usage-report";

    constructor(private readonly options: UsageReporterOptions) {
        super(options, PACE);
    }

    protected listDue(term: HolderTerm): readonly DueReport[] {
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
