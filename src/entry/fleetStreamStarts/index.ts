import { STREAM_START_METHOD, StreamStartQuery, StreamStartReply } from "../../control/index.js";
import { RequestId, WorkspaceId } from "../../ids/index.js";
import { Clock } from "../../ports/index.js";
import { isSameStart, StreamStart, StreamStartLookup, StreamStartRegistry } from "../../resumption/index.js";
import { PeerLink } from "../../wire/index.js";
import { StreamStartLog } from "../streamStartLog/index.js";

/** Timeout of a query, in milliseconds: the caller of the stream waits for it. */
const QUERY_TIMEOUT_MS = 250;

/** Options of `FleetStreamStarts`. */
export interface FleetStreamStartsOptions {
    readonly clock: Clock;
    /** The starts of streams through this entry. */
    readonly log: StreamStartLog;
    /** Links to the control processes; the array may change. */
    readonly links: readonly Pick<PeerLink, "call">[];
    /** Reports recorded starts to the control processes now. */
    readonly report: () => void;
}

/**
 * Where the streams of all entries began: known to this entry for its own, and to the control processes for all. A start that is durable is
 * known to a majority of these, so that any majority that is asked knows it.
 *
 * @example
 * const lookup = await starts.find(workspace, attempt);
 */
export class FleetStreamStarts extends StreamStartRegistry {
    constructor(private readonly options: FleetStreamStartsOptions) {
        super();
    }

    record(start: StreamStart): number {
        return this.options.log.record(start);
    }

    report(): void {
        this.options.report();
    }

    async find(workspace: WorkspaceId | undefined, attempt: RequestId): Promise<StreamStartLookup> {
        const { log, links } = this.options;
        const query: StreamStartQuery = { ...(workspace === undefined ? {} : { workspace }), attempt };
        const found = [...log.find(workspace, attempt)];
        const majority = Math.floor(links.length / 2) + 1;
        let replies = 0;
        const asked = links.map(async link => {
            const reply = await link.call(STREAM_START_METHOD, query, QUERY_TIMEOUT_MS);
            reply.ifRight(body => {
                replies++;
                found.push(...(body as StreamStartReply).starts);
            });
        });
        await settleEnough(asked, () => replies >= majority && found.length > 0);
        return judge(found, replies >= majority);
    }
}

/** Resolves when all tasks have ended, or earlier when the condition holds after the end of one of them. */
async function settleEnough(tasks: readonly Promise<void>[], isEnough: () => boolean): Promise<void> {
    const early = tasks.map(task => new Promise<void>(resolve => void task.then(() => isEnough() && resolve())));
    await Promise.race([Promise.all(tasks), ...early]);
}

function judge(starts: readonly StreamStart[], hasMajority: boolean): StreamStartLookup {
    const [start] = starts;
    if (!start) return { kind: hasMajority ? "unknown" : "unconfirmed" };
    return starts.every(other => isSameStart(other, start)) ? { kind: "found", start } : { kind: "ambiguous" };
}
