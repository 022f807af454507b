import { CALL_HEADERS } from "../../passthrough/index.js";
import { findHeader, HeaderList } from "../../ports/index.js";
import { RoutedFleet } from "../routedFleet/index.js";
import { TestReply } from "../testCaller/index.js";

/** An event of a stream, as its caller received it. */
export interface StreamEvent {
    readonly id: number;
    /** Version of the software of the upstream that sent it. */
    readonly software: string;
}

/** One try of a caller at a stream. */
export interface StreamTry {
    readonly request: string;
    readonly entry: number;
    /** Monotonic time, in milliseconds. */
    readonly sentAt: number;
    /** Whether the try took the stream up after events that the caller had. */
    readonly isResumption: boolean;
    readonly status: number;
    readonly events: readonly StreamEvent[];
    readonly isWhole: boolean;
}

/** What a caller received of one stream, over all its tries. */
export interface StreamOutcome {
    readonly tries: readonly StreamTry[];
    readonly events: readonly StreamEvent[];
    /** Whether the last try ended as complete. */
    readonly isWhole: boolean;
}

/** How a caller asks for one stream. */
export interface StreamRequest {
    /** Id of its first try; that of each further one is derived from it. */
    readonly request: string;
    readonly path: string;
    readonly key: string;
    /** Returns the number of the entry for a try, counted from 0; undefined: the caller gives up. */
    readonly entryOf: (attempt: number) => number | undefined;
    readonly maxTries: number;
    /** Pause before a stream that broke off is taken up, in milliseconds. */
    readonly pauseMs: number;
    /** Returns the signal by which the caller leaves a try at an entry; undefined: it waits for the end of each. */
    readonly signalOf?: (entry: number) => AbortSignal;
}

const MAX_RETRY_PAUSE_MS = 1_000;
/** Pause after a try that reached no host, in milliseconds. */
const UNREACHABLE_PAUSE_MS = 1_000;
const MS_PER_SECOND = 1_000;
const EVENT_PATTERN = /id: (\d+)\nevent: (\S+)\ndata: [^\n]*\n\n/g;

/**
 * Asks for a stream as a caller does that takes it up again: after a broken connection, it names the last event that it has, and the try that
 * brought the first one.
 *
 * @example
 * const stream = callStream(fleet, { request: "sheet", path: "/sheets/1", key, entryOf: () => 0, maxTries: 3, pauseMs: 50 });
 */
export async function callStream(fleet: RoutedFleet, stream: StreamRequest): Promise<StreamOutcome> {
    const tries: StreamTry[] = [];
    for (let attempt = 0; attempt < stream.maxTries; attempt++) {
        const entry = stream.entryOf(attempt);
        if (entry === undefined) break;
        const reply = await sendTry(fleet, stream, tries, entry);
        if (tries.at(-1)!.isWhole && reply.status === 200) break;
        await fleet.clock.sleep(findPauseMs(reply, stream));
    }
    const events = tries.flatMap(each => each.events);
    return { tries, events, isWhole: tries.at(-1)?.status === 200 && tries.at(-1)!.isWhole };
}

/** Returns the software versions that the events of a stream come from. */
export function listSoftware({ events }: StreamOutcome): string[] {
    return [...new Set(events.map(({ software }) => software))];
}

async function sendTry(
    fleet: RoutedFleet,
    { request: name, path, key, signalOf }: StreamRequest,
    tries: StreamTry[],
    entry: number,
): Promise<TestReply> {
    const request = tries.length === 0 ? name : `${name}-${tries.length}`;
    const began = tries.find(({ events }) => events.length > 0);
    const last = tries.flatMap(({ events }) => events).at(-1);
    const headers: HeaderList = began && last
        ? [[CALL_HEADERS.lastEventId, String(last.id)], [CALL_HEADERS.resumes, began.request]]
        : [];
    const sentAt = fleet.clock.monotonic();
    const reply = await fleet.startCall({ entry, path, key, request, headers, signal: signalOf?.(entry) });
    const { status, isWhole } = reply;
    const events = status === 200 ? parseEvents(reply.body) : [];
    tries.push({ request, entry, sentAt, isResumption: began !== undefined, status, isWhole, events });
    return reply;
}

function parseEvents(body: string): StreamEvent[] {
    return [...body.matchAll(EVENT_PATTERN)].map(([, id, software]) => ({ id: Number(id), software }));
}

/** A caller waits as long as it was told to, within its patience. */
function findPauseMs({ status, headers }: TestReply, { pauseMs }: StreamRequest): number {
    if (status === 0) return UNREACHABLE_PAUSE_MS;
    const retryAfterMs = Number(findHeader(headers, "retry-after") ?? 0) * MS_PER_SECOND;
    return Math.max(pauseMs, Math.min(MAX_RETRY_PAUSE_MS, retryAfterMs));
}
