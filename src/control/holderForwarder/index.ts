import { ReplicatedLog } from "../../consensus/index.js";
import { PeerRouter } from "../../wire/index.js";
import { DEMAND_METHOD } from "../demandReport/index.js";
import { COMMAND_METHOD } from "../entryCommand/index.js";
import { VIEW_PULL_METHOD } from "../view/index.js";

/** Peer method by which an entry that does not reach the holder has another control process pass a call on. */
export const FORWARD_METHOD = "control.forward";

/** A call to be passed on to the holder. */
export interface ForwardRequest {
    readonly method: string;
    readonly body: unknown;
    /** Timeout of the call, in milliseconds. */
    readonly timeoutMs: number;
}

/** The methods of the holder that entries call. */
const FORWARDED_METHODS: readonly string[] = [VIEW_PULL_METHOD, COMMAND_METHOD, DEMAND_METHOD];

/**
 * Passes entries' calls on to the holder. The holder judges by itself whether it still is the holder, and a view's lease counts from when the
 * entry sent its pull, so that the longer way only makes the lease end earlier.
 *
 * @example
 * serveForwards(router, log);
 */
export function serveForwards(router: PeerRouter, log: Pick<ReplicatedLog, "callLeader">): void {
    router.add(FORWARD_METHOD, async request => {
        const { method, body, timeoutMs } = request as ForwardRequest;
        if (!FORWARDED_METHODS.includes(method)) throw new Error(`${method} is not passed on`);
        const reply = await log.callLeader(method, body, timeoutMs);
        return reply.caseOf({
            Left: err => {
                throw err;
            },
            Right: value => value,
        });
    });
}
