import { ClosedStarts } from "../../usage/index.js";
import { FencedCall } from "../fencedSender/index.js";
import { HolderTerm } from "../holderTerm/index.js";
import { ControlState } from "../state/index.js";
import { DueReport, WindowReporter, WindowReporterParts } from "../windowReporter/index.js";

const PACE = { pauseMs: 200, firstRetryMs: 300, lastRetryMs: 2_000 };
/** Older windows than this many are no longer sent: nobody takes them, and they would hold up the rest. */
const MOST_BACKLOG = 24;

/** What the reporter is made of. */
export interface StartsReporterOptions extends WindowReporterParts {
    readonly state: ControlState;
    /** Writes a window as the platform takes it. */
    readonly describe: (closed: ClosedStarts, term: HolderTerm) => FencedCall;
}

/** Reports closed windows of started requests. */
export class StartsReporter extends WindowReporter {
    readonly name = "starts-report";

    constructor(private readonly options: StartsReporterOptions) {
        super(options, PACE);
    }

    protected listDue(term: HolderTerm): readonly DueReport[] {
        const { state, describe } = this.options;
        return state.starts.listUnreported().slice(-MOST_BACKLOG).map(closed => ({
            name: closed.window,
            call: describe(closed, term),
            confirmation: { kind: "starts.reported", window: closed.window },
        }));
    }
}
