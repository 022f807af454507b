import { UpstreamRun } from "../../routedProcesses/index.js";

/** A request as its caller saw it. Times are of the wall clock, in milliseconds. */
export interface Exchange {
    readonly request: string;
    readonly route: string;
    readonly entry: number;
    /** When its first byte was sent. */
    readonly beganAt: number;
    /** When its last byte was sent; undefined: it was not sent whole. */
    readonly sentAt?: number;
    readonly status?: number;
    /** Whether the answer states that the call has not run. */
    readonly isRefused: boolean;
    /** Ids of the events of the answer, in order. */
    readonly events: readonly number[];
    /** Number of events of a complete answer. */
    readonly expectedEvents: number;
    /** When the caller read the answer again after a pause; undefined: it never paused. */
    readonly readAgainAt?: number;
    readonly endedAt: number;
    /** `cut`: the connection ended without a complete answer; `unanswered`: the caller gave up. */
    readonly end: "whole" | "cut" | "unanswered";
}

/** One run of an entry's process. */
export interface EntryLife {
    readonly entry: number;
    readonly startedAt: number;
    /** When it got its first SIGTERM; undefined: none. */
    readonly stoppedAt?: number;
    /** When it noticed the signal; undefined: never. */
    readonly noticedAt?: number;
    /** Undefined: it has not exited. */
    readonly exitedAt?: number;
    /** Exit code or name of the signal that ended it. */
    readonly exit?: number | string;
}

/** What a run is judged by. */
export interface StopRecord {
    readonly exchanges: readonly Exchange[];
    readonly runs: readonly UpstreamRun[];
    readonly lives: readonly EntryLife[];
    /** Shortest timeout of each route in the run, in milliseconds. */
    readonly timeouts: ReadonlyMap<string, number>;
    /** Routes whose calls must run at most once. */
    readonly onceRoutes: ReadonlySet<string>;
    readonly limits: StopLimits;
}

/** Times by which a stop is judged, in milliseconds. */
export interface StopLimits {
    /** From SIGTERM until an entry must have exited. */
    readonly graceMs: number;
    /** From SIGTERM while a stopping entry takes new requests. */
    readonly acceptMs: number;
    /** After its last byte was sent, until a request counts as read. */
    readonly readMs: number;
    /** By which a busy machine may be late to read a signal or to give work up. */
    readonly toleranceMs: number;
}

/** Kinds of violated guarantees. */
export type StopFaultKind =
    /** A request that was read got no complete answer. */
    | "cut"
    /** A request had no end long after its timeout. */
    | "unanswered"
    /** A stream has an event missing or twice, or ends as complete too early. */
    | "wrong-events"
    /** A call that must not be repeated ran more than once. */
    | "ran-twice"
    /** A call that was refused as not run has run. */
    | "untrue-refusal"
    /** An entry ended without SIGTERM. */
    | "process-ended"
    /** An entry had not exited long after its grace, and was killed. */
    | "late-exit";

/** A violated guarantee. */
export interface StopFault {
    readonly kind: StopFaultKind;
    /** Undefined for faults of a process. */
    readonly exchange?: Exchange;
    readonly life?: EntryLife;
    readonly detail: string;
}

/** Part of the grace after which work that still runs at an upstream may be given up. */
const LAST_PART_FROM = 5 / 6;

/**
 * Judges a run by what callers and upstreams saw.
 *
 * @returns The violated guarantees, in the order of the exchanges.
 * @example
 * const faults = checkStops(record);
 */
export function checkStops(record: StopRecord): StopFault[] {
    const runsByRequest = groupRuns(record.runs);
    const faults = record.exchanges.flatMap(exchange => {
        const life = findLife(record.lives, exchange);
        const runs = runsByRequest.get(exchange.request) ?? [];
        return listFaults(record, exchange, runs, life).map(fault => ({ exchange, life, ...fault }));
    });
    return [...faults, ...record.lives.flatMap(life => findExitFault(life) ?? [])];
}

function findExitFault(life: EntryLife): StopFault | undefined {
    const { stoppedAt, exitedAt, exit } = life;
    if (exitedAt === undefined) return undefined;
    if (stoppedAt === undefined) return { kind: "process-ended", life, detail: `by ${exit}` };
    return exit === "SIGKILL" ? { kind: "late-exit", life, detail: `after ${exitedAt - stoppedAt} ms` } : undefined;
}

function groupRuns(runs: readonly UpstreamRun[]): Map<string, UpstreamRun[]> {
    const groups = new Map<string, UpstreamRun[]>();
    for (const run of runs) groups.set(run.request, [...groups.get(run.request) ?? [], run]);
    return groups;
}

function listFaults(
    { timeouts, limits, onceRoutes }: StopRecord,
    exchange: Exchange,
    runs: readonly UpstreamRun[],
    life: EntryLife | undefined,
): StopFault[] {
    const faults: StopFault[] = [];
    const isTimedOut = exchange.endedAt - exchange.beganAt >= timeouts.get(exchange.route)!;
    if (exchange.end === "unanswered") faults.push({ kind: "unanswered", detail: describe(exchange, life) });
    if (isCutUnduly(exchange, runs, life, limits) && !isTimedOut) {
        faults.push({ kind: "cut", detail: describe(exchange, life) });
    }
    if (hasWrongEvents(exchange)) faults.push({ kind: "wrong-events", detail: exchange.events.join(" ") });
    if (onceRoutes.has(exchange.route) && runs.length > 1) {
        faults.push({ kind: "ran-twice", detail: runs.map(({ upstream }) => upstream).join(" ") });
    }
    if (exchange.isRefused && runs.length > 0) {
        faults.push({ kind: "untrue-refusal", detail: runs.map(({ upstream }) => upstream).join(" ") });
    }
    return faults;
}

function isCutUnduly(
    exchange: Exchange,
    runs: readonly UpstreamRun[],
    life: EntryLife | undefined,
    { graceMs, acceptMs, readMs, toleranceMs }: StopLimits,
): boolean {
    const { end, sentAt, beganAt, endedAt, readAgainAt } = exchange;
    if (end !== "cut") return false;
    const wasRead = runs.length > 0 || (sentAt !== undefined && endedAt - sentAt > readMs);
    if (!wasRead) return false;
    if (life?.stoppedAt === undefined) return true;
    const { stoppedAt, noticedAt = stoppedAt } = life;
    const lastPartAt = stoppedAt + LAST_PART_FROM * graceMs - toleranceMs;
    if (readAgainAt !== undefined && readAgainAt >= lastPartAt) return false;
    const wasAtWork = runs.some(run => (run.endedAt ?? Number.POSITIVE_INFINITY) >= lastPartAt);
    return !(wasAtWork && beganAt <= noticedAt + acceptMs + toleranceMs);
}

function hasWrongEvents({ events, expectedEvents, status, end }: Exchange): boolean {
    const isInOrder = events.every((id, index) => id === index + 1);
    return !isInOrder || (end === "whole" && status === 200 && events.length !== expectedEvents);
}

function findLife(lives: readonly EntryLife[], { entry, beganAt }: Exchange): EntryLife | undefined {
    return lives.filter(life => life.entry === entry && life.startedAt <= beganAt).at(-1);
}

function describe({ beganAt, sentAt, endedAt, events, expectedEvents, status }: Exchange, life?: EntryLife): string {
    const from = life?.stoppedAt ?? beganAt;
    const since = (at: number | undefined): string => at === undefined ? "never" : `${Math.round(at - from)}`;
    const origin = life?.stoppedAt === undefined ? "its first byte" : "SIGTERM";
    return `ms from ${origin}: begun ${since(beganAt)}, sent ${since(sentAt)}, ended ${since(endedAt)}`
        + `, process exited ${since(life?.exitedAt)}; status ${status}, ${events.length} of ${expectedEvents} events`;
}
