import { promisesNotRun } from "../../../execution/index.js";
import { findWorstRepeats } from "../../../faultInjection/index.js";
import { RepeatLimits } from "../../../passthrough/index.js";
import { CallEnd } from "../../exchangeCall/index.js";
import { groupBy } from "../../groupBy/index.js";
import { RawRun } from "../../rawUpstream/index.js";

/** A request as its caller saw it. */
export interface RefusalExchange {
    readonly request: string;
    readonly route: string;
    readonly entry: number;
    /** Wall clock at which it was sent, in milliseconds. */
    readonly sentAt: number;
    /** Undefined: no head of an answer came. */
    readonly status?: number;
    /** Whether the answer states that the call has not run. */
    readonly statesNotRun: boolean;
    readonly body: string;
    readonly end: CallEnd;
}

/** What a run is judged by: only what callers and upstreams saw. */
export interface RefusalRecord {
    readonly exchanges: readonly RefusalExchange[];
    /** The runs of all upstreams, read again after the longest time for which anything may still be sent. */
    readonly runs: readonly RawRun[];
    /** Routes whose calls must run at most once. */
    readonly onceRoutes: ReadonlySet<string>;
    /** Entries whose process ended without a signal that ends it. */
    readonly endedEntries: readonly number[];
    /** All requests that reached upstreams, by the wall clock in milliseconds. */
    readonly arrivals: readonly { readonly request: string; readonly at: number; }[];
    /** Limits on retries of the pool. */
    readonly repeats: RepeatLimits;
}

/** Kinds of violated guarantees. */
export type RefusalFaultKind =
    /** A call that must not be repeated ran more than once. */
    | "ran-twice"
    /** A call ran whose answer promises that it has not and will not. */
    | "untrue-refusal"
    /** An answer with success is not one to this call. */
    | "foreign-answer"
    /** A request had no end long after its timeout. */
    | "unanswered"
    /** An entry's process ended by itself. */
    | "process-ended"
    /** More retries reached the upstreams within a window than the limits allow. */
    | "too-many-retries";

/** A violated guarantee. */
export interface RefusalFault {
    readonly kind: RefusalFaultKind;
    /** Undefined for faults of a process. */
    readonly exchange?: RefusalExchange;
    readonly detail: string;
}

const STATUS_OK = 200;

/**
 * Judges a run by what callers and upstreams saw.
 *
 * @returns The violated guarantees.
 * @example
 * const faults = checkRefusals(record);
 */
export function checkRefusals(record: RefusalRecord): RefusalFault[] {
    const runs = groupBy(record.runs, ({ id }) => id);
    const faults = record.exchanges.flatMap(exchange =>
        listFaults(exchange, runs.get(exchange.request) ?? [], record.onceRoutes).map(fault => ({ exchange, ...fault }))
    );
    const ended = record.endedEntries.map(entry => ({ kind: "process-ended" as const, detail: `entry ${entry}` }));
    return [...faults, ...ended, ...findTooManyRepeats(record)];
}

function findTooManyRepeats({ arrivals, exchanges, repeats: limits }: RefusalRecord): RefusalFault[] {
    const { repeats, allowed } = findWorstRepeats(arrivals, exchanges.map(({ sentAt }) => sentAt), limits);
    if (repeats <= allowed) return [];
    return [{ kind: "too-many-retries", detail: `${repeats} of ${allowed} allowed within a window` }];
}

function listFaults(
    { request, route, status, statesNotRun, body, end }: RefusalExchange,
    runs: readonly RawRun[],
    onceRoutes: ReadonlySet<string>,
): RefusalFault[] {
    const faults: RefusalFault[] = [];
    const upstreams = runs.map(({ upstream }) => upstream).join(" ");
    if (onceRoutes.has(route) && runs.length > 1) faults.push({ kind: "ran-twice", detail: upstreams });
    const isPromise = statesNotRun || (status !== undefined && promisesNotRun(status));
    if (isPromise && runs.length > 0) faults.push({ kind: "untrue-refusal", detail: `${status}, ran at ${upstreams}` });
    const isForeign = end === "whole" && status === STATUS_OK && !body.includes(`[${request}]`);
    if (isForeign) faults.push({ kind: "foreign-answer", detail: body.slice(0, 80) });
    if (end === "unanswered") faults.push({ kind: "unanswered", detail: `status ${status}` });
    return faults;
}
