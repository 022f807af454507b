import { RequestId, WorkspaceId } from "../../ids/index.js";
import { StreamStart, StreamStartTable } from "../../resumption/index.js";
import { PeerRouter } from "../../wire/index.js";

/** Peer method by which entries ask a control process where a stream began; the reply is a `StreamStartReply`. */
export const STREAM_START_METHOD = "streams.find";

/** Asks where the stream of an attempt began. */
export interface StreamStartQuery {
    /** Undefined where the route needs no key. */
    readonly workspace?: WorkspaceId;
    readonly attempt: RequestId;
}

/** Where the stream began: nothing if that is unknown, several starts if the caller has used the attempt's id more than once. */
export interface StreamStartReply {
    readonly starts: readonly StreamStart[];
}

/** Answers entries' queries for the starts of streams. */
export function serveStreamStarts(router: PeerRouter, table: StreamStartTable): void {
    router.add(STREAM_START_METHOD, (body): StreamStartReply => {
        const { workspace, attempt } = body as StreamStartQuery;
        return { starts: table.find(workspace, attempt) };
    });
}
