import { ClosedStartWindow } from "../../usage/index.js";
import { ControlState } from "../controlState/index.js";
import { FencedCall } from "../fencedSender/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { PendingReport, WindowReporter, WindowReporterOptions } from "../windowReporter/index.js";

const TIMING = { pauseMs: 200, firstRetryMs: 300, lastRetryMs: 2_000 };
/** Only this many of the latest windows are sent: older ones are no longer accepted and would delay the rest. */
const MAX_BACKLOG_WINDOWS = 24;

/** Options of `StartsReporter`. */
export interface StartsReporterOptions extends WindowReporterOptions {
    readonly state: ControlState;
    /** Builds the call that reports a window in the platform's format. */
    readonly buildCall: (closed: ClosedStartWindow, term: HolderTerm) => FencedCall;
}

/** Reports closed windows of request starts to the platform. */
export class StartsReporter extends WindowReporter {
    readonly name = "starts-report";

    constructor(private readonly options: StartsReporterOptions) {
        super(options, TIMING);
    }

    protected listPending(term: HolderTerm): readonly PendingReport[] {
        const { state, buildCall } = this.options;
        return state.starts.listUnreported().slice(-MAX_BACKLOG_WINDOWS).map(closed => ({
            name: closed.window,
            call: buildCall(closed, term),
            confirmation: { kind: "starts.reported", window: closed.window },
        }));
    }
}
