import { CallEnd } from "../../exchangeCall/index.js";
import { groupBy } from "../../groupBy/index.js";
import { RawRun } from "../../rawUpstream/index.js";
import { ServedStream } from "../drawGarbledReply/index.js";
import { readEvents } from "../readEvents/index.js";
import { AskedStream, listEventLines } from "../streamShapes/index.js";

/** A request for a stream as its caller saw it. */
export interface StreamExchange extends AskedStream {
    readonly request: string;
    readonly route: string;
    readonly entry: number;
    /** Wall clock at which it was sent, in milliseconds. */
    readonly sentAt: number;
    /** Undefined: no head of an answer came. */
    readonly status?: number;
    /** One character per byte. */
    readonly body: string;
    readonly end: CallEnd;
}

/** What a run is judged by: only what callers and upstreams saw. */
export interface GarbledRecord {
    readonly exchanges: readonly StreamExchange[];
    readonly served: readonly ServedStream[];
    readonly runs: readonly RawRun[];
    /** Entries whose process ended without a signal that ends it. */
    readonly endedEntries: readonly number[];
}

/** Kinds of violated guarantees. */
export type GarbledFaultKind =
    /** A piece that no run made. */
    | "foreign-piece"
    /** A piece that the caller had already. */
    | "repeated-piece"
    /** A piece behind one that did not come. */
    | "missing-piece"
    /** An answer ended as complete before the last event. */
    | "untrue-end"
    /** A spoilt stream that can't go on elsewhere ended as complete. */
    | "not-broken-off"
    /** A stream that must not be repeated ran more than once. */
    | "ran-twice"
    /** A request had no end long after its timeout. */
    | "unanswered"
    /** An entry's process ended by itself. */
    | "process-ended";

/** A violated guarantee. */
export interface GarbledFault {
    readonly kind: GarbledFaultKind;
    /** Undefined for faults of a process. */
    readonly exchange?: StreamExchange;
    readonly detail: string;
}

/** What became of the requests for streams that may be resumed, and that an upstream spoilt before their last event. */
export interface ContinuationTally {
    readonly spoilt: number;
    /** Those whose answer was complete and right all the same. */
    readonly continued: number;
}

const STATUS_OK = 200;

/**
 * Judges a run by what callers and upstreams saw.
 *
 * @returns The violated guarantees.
 * @example
 * const faults = checkGarbledStreams(record);
 */
export function checkGarbledStreams({ exchanges, served, runs, endedEntries }: GarbledRecord): GarbledFault[] {
    const servedByRequest = groupBy(served, ({ request }) => request);
    const runsByRequest = groupBy(runs, ({ id }) => id);
    const faults = exchanges.flatMap(exchange => {
        const streams = servedByRequest.get(exchange.request) ?? [];
        const runCount = runsByRequest.get(exchange.request)?.length ?? 0;
        return listFaults(exchange, streams, runCount).map(fault => ({ exchange, ...fault }));
    });
    const ended = endedEntries.map(entry => ({ kind: "process-ended" as const, detail: `entry ${entry}` }));
    return [...faults, ...ended];
}

/**
 * Returns the fault of the pieces that came, if there is one: each must be the event of the run that is next.
 *
 * @example
 * const fault = findPieceFault(exchange);
 */
export function findPieceFault(exchange: Omit<StreamExchange, "end">): Omit<GarbledFault, "exchange"> | undefined {
    const { total, from } = exchange;
    const numbers = new Map<string, number>();
    for (let number = 1; number <= total; number++) numbers.set(listEventLines(exchange, number).join("\n"), number);
    for (const [index, lines] of readEvents(exchange.body).events.entries()) {
        const number = numbers.get(lines.join("\n"));
        const due = from + index;
        if (number === due) continue;
        const detail = `${JSON.stringify(lines.join("\n")).slice(0, 120)} where ${due} of ${total} was due`;
        if (number === undefined) return { detail, kind: "foreign-piece" };
        return { detail, kind: number < due ? "repeated-piece" : "missing-piece" };
    }
    return undefined;
}

/** Counts the streams that were spoilt before their last event and went on. */
export function tallyContinuations({ exchanges, served }: GarbledRecord): ContinuationTally {
    const isEarly = ({ shape }: ServedStream): boolean => shape.isFaulty && !shape.isBehindLastEvent;
    const spoilt = new Set(served.filter(isEarly).map(({ request }) => request));
    const judged = exchanges.filter(({ request, isResumable, end }) =>
        isResumable && end !== "left" && spoilt.has(request)
    );
    return { spoilt: judged.length, continued: judged.filter(isComplete).length };
}

/** Whether an answer holds all events asked for, and nothing else. */
export function isComplete(exchange: StreamExchange): boolean {
    return isEndedWhole(exchange) && findPieceFault(exchange) === undefined && findUntrueEnd(exchange) === undefined;
}

/** Whether an answer brought all events asked for, in order, whatever its end. */
export function hasAllEvents(exchange: StreamExchange): boolean {
    const { status, body, total, from } = exchange;
    if (status !== STATUS_OK || findPieceFault(exchange) !== undefined) return false;
    return readEvents(body).events.length === total - from + 1;
}

function isEndedWhole({ status, end }: StreamExchange): boolean {
    return status === STATUS_OK && end === "whole";
}

function listFaults(
    exchange: StreamExchange,
    served: readonly ServedStream[],
    runs: number,
): Omit<GarbledFault, "exchange">[] {
    const faults: Omit<GarbledFault, "exchange">[] = [];
    const { status, end, isResumable } = exchange;
    const shapes = served.map(({ upstream, shape, framing, at }) => `${upstream}: ${shape.name}, ${framing}, at ${at}`);
    const piece = status === STATUS_OK ? findPieceFault(exchange) : undefined;
    if (piece) faults.push(piece);
    const untrueEnd = isEndedWhole(exchange) && !piece ? findUntrueEnd(exchange) : undefined;
    if (untrueEnd !== undefined) faults.push({ kind: "untrue-end", detail: untrueEnd });
    const isSpoilt = served.some(({ shape }) => shape.isFaulty);
    if (!isResumable && isSpoilt && isEndedWhole(exchange)) faults.push({ kind: "not-broken-off", detail: "" });
    if (!isResumable && runs > 1) faults.push({ kind: "ran-twice", detail: "" });
    if (end === "unanswered") faults.push({ kind: "unanswered", detail: `status ${status}` });
    return faults.map(({ kind, detail }) => ({ kind, detail: `${detail} (${shapes.join("; ")})` }));
}

function findUntrueEnd({ total, from, body }: StreamExchange): string | undefined {
    const { events, rest } = readEvents(body);
    const last = from - 1 + events.length;
    if (rest.length > 0) return `ends with ${JSON.stringify(rest.join("\n")).slice(0, 80)} behind ${last} of ${total}`;
    return last < total ? `ends behind ${last} of ${total}` : undefined;
}
