import { CALL_HEADERS } from "../../passthrough/index.js";

/** Contents of an answer that a raw upstream sends. */
export interface RawAnswer {
    readonly status: number;
    /** The ids of calls that it states to answer. */
    readonly ids: readonly string[];
    /** Whether it states that the call has not run. */
    readonly statesNotRun: boolean;
    /** Whether it has the mark of an upstream's own answers. */
    readonly isSigned: boolean;
    readonly body: string;
    /** Whether the body is a stream of events. */
    readonly isStream: boolean;
    /** Further lines of the head, as they are sent. */
    readonly fields: readonly string[];
    /** Number of bytes of the body that are not sent. */
    readonly missingBytes: number;
}

const BODY = "the upstream's body";

/**
 * Formats an answer as it is sent on the connection.
 *
 * @param parts - What differs from a whole answer with status 200 that names no call.
 * @example
 * const refusal = formatRawAnswer({ status: 503, ids: [request], statesNotRun: true });
 */
export function formatRawAnswer(parts: Partial<RawAnswer>): string {
    const answer: RawAnswer = {
        status: 200,
        ids: [],
        statesNotRun: false,
        isSigned: true,
        body: BODY,
        isStream: false,
        fields: [],
        missingBytes: 0,
        ...parts,
    };
    const { status, ids, statesNotRun, isSigned, body, isStream, fields, missingBytes } = answer;
    return [
        `HTTP/1.1 ${status} Status`,
        ...ids.map(id => `${CALL_HEADERS.request}: ${id}`),
        ...(statesNotRun ? [`${CALL_HEADERS.notRun}: 1`] : []),
        ...(isSigned ? [`${CALL_HEADERS.signature}: raw`] : []),
        ...(isStream ? ["content-type: text/event-stream"] : []),
        ...fields,
        `content-length: ${body.length}`,
        "",
        body.slice(0, body.length - missingBytes),
    ].join("\r\n");
}
