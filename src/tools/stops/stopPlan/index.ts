import { Random } from "../../../ports/index.js";
import { makeRandom } from "../../makeRandom/index.js";
import { UpstreamPlan } from "../../routedProcesses/index.js";

/** How a caller uses its connection. */
export type CallerHabit =
    /** Reads each answer as it arrives. */
    | "prompt"
    /** Sends the body of each request in pieces. */
    | "piecewise"
    /** Stops reading an answer after its head, and reads the rest later. */
    | "late-reader";

/** One caller. */
export interface CallerPlan {
    readonly seed: number;
    readonly habit: CallerHabit;
}

/** A signal to an entry. Times are in milliseconds from the start of the play. */
export interface PlannedSignal {
    readonly atMs: number;
    readonly entry: number;
    readonly signal: "SIGTERM" | "SIGHUP";
}

/** A planned stop of a control process, which is started again. */
export interface PlannedControlStop {
    readonly atMs: number;
    readonly control: number;
}

/** A time in which some upstreams send nothing. */
export interface PlannedSilence {
    readonly atMs: number;
    readonly durationMs: number;
    readonly upstreams: readonly number[];
    /** Whether their processes are frozen, so that they don't announce themselves either. */
    readonly isFrozen: boolean;
}

/** A fleet document that is put in force. */
export interface PlannedDocument {
    readonly atMs: number;
    readonly document: StopDocument;
}

/** Route of the document, with the answers that its upstreams give. */
export interface StopRoute {
    readonly name: string;
    readonly pool: string;
    readonly kind: "once" | "stream" | "idempotent";
    readonly timeoutMs: number;
    readonly attempts: number;
    readonly resumable: boolean;
    readonly gapMs?: number;
    /** Bounds of the number of events of an answer; undefined for plain answers. */
    readonly events?: readonly [low: number, high: number];
    /** Whether its answers are larger than what connections hold, so that a late reader matters. */
    readonly isLarge: boolean;
}

/** A fleet document of the play. */
export interface StopDocument {
    readonly version: number;
    readonly routes: readonly { readonly name: string; readonly timeoutMs: number; }[];
}

/** Everything that happens in one run, drawn from its seed. */
export interface StopPlan {
    readonly entries: number;
    readonly controls: number;
    readonly upstreams: readonly UpstreamPlan[];
    readonly callers: readonly CallerPlan[];
    readonly signals: readonly PlannedSignal[];
    readonly controlStops: readonly PlannedControlStop[];
    readonly silences: readonly PlannedSilence[];
    readonly documents: readonly PlannedDocument[];
    /** Time in which callers begin requests, in milliseconds. */
    readonly durationMs: number;
}

/** Host header of all routes. */
export const ROUTE_HOST = "shop.example";
/** Routes of all documents, except for those that a document adds. */
export const STOP_ROUTES: readonly StopRoute[] = [
    makeRoute({ name: "drafts", pool: "writer", kind: "stream", attempts: 2, resumable: true, events: [10, 30] }),
    makeRoute({ name: "reports", pool: "writer", kind: "stream", attempts: 2, resumable: true, events: [60, 160] }),
    makeRoute({ name: "letters", pool: "writer", kind: "stream", attempts: 1, events: [10, 60] }),
    makeRoute({ name: "orders", pool: "ledger", kind: "once", timeoutMs: 10_000 }),
    makeRoute({ name: "lookups", pool: "ledger", kind: "idempotent", timeoutMs: 10_000, attempts: 2 }),
    makeRoute({ name: "films", pool: "archive", kind: "stream", events: [16, 48], isLarge: true }),
    makeRoute({ name: "files", pool: "archive", kind: "idempotent", attempts: 2, events: [16, 48], isLarge: true }),
];

const FIRST_EVENT_MS = 50;
const UPSTREAMS: Readonly<Record<string, UpstreamPlan>> = {
    writer: { pool: "writer", workMs: FIRST_EVENT_MS, events: 20, gapMs: 50, eventPadding: 0 },
    ledger: { pool: "ledger", workMs: 300, events: 0, gapMs: 0, eventPadding: 0 },
    archive: { pool: "archive", workMs: FIRST_EVENT_MS, events: 20, gapMs: 10, eventPadding: 128 * 1024 },
};
const UPSTREAMS_PER_POOL: readonly (readonly [pool: string, count: number])[] = [["writer", 4], ["ledger", 2], [
    "archive",
    2,
]];
const ENTRIES = 4;
const CONTROLS = 3;
/** Longer than a control process needs to stop, start and catch up. */
const CONTROL_STOP_INTERVAL_MS = 6_000;
const CALLERS_PER_ENTRY = 16;
/** Habits are drawn from these; one that occurs more often is more frequent. */
const HABITS: readonly CallerHabit[] = [
    "prompt",
    "prompt",
    "prompt",
    "prompt",
    "prompt",
    "piecewise",
    "piecewise",
    "late-reader",
];
const DURATION_MS = 14_000;
const LAST_SIGNAL_MS = 10_000;
const ROLL_INTERVAL_MS = 2_500;
const SILENCE_MS: readonly [number, number] = [500, 4_000];
const MAX_SEED = 1_000_000;

/**
 * Draws a run: entries that are stopped one at a time or several at once, upstreams that fall silent, and changes of the document.
 *
 * @param seed - Determines the plan.
 * @param size - Factor on the number of processes and callers.
 * @example
 * const plan = drawStopPlan(42, 1);
 */
export function drawStopPlan(seed: number, size: number): StopPlan {
    const random = makeRandom(seed);
    const entries = ENTRIES * size;
    const upstreams = UPSTREAMS_PER_POOL.flatMap(([pool, count]) => repeat(count * size, () => UPSTREAMS[pool]));
    return {
        entries,
        controls: CONTROLS,
        upstreams,
        callers: repeat(entries * CALLERS_PER_ENTRY, () => ({
            seed: random.integer(1, MAX_SEED),
            habit: random.pick(HABITS),
        })),
        signals: [...drawStops(random, entries), ...drawHangups(random, entries)].sort((a, b) => a.atMs - b.atMs),
        silences: drawSilences(random, upstreams.length),
        documents: drawDocuments(random),
        controlStops: drawControlStops(random),
        durationMs: DURATION_MS,
    };
}

/** Makes the document that is in force from the start. */
export function makeFirstDocument(): StopDocument {
    return makeDocument({ version: 1, timeoutFactor: 1, idleTimeoutMs: 15_000, addedRoutes: 0 });
}

function makeRoute(parts: Partial<StopRoute> & Pick<StopRoute, "name" | "pool" | "kind">): StopRoute {
    const gapMs = parts.kind === "stream" ? { gapMs: 250 } : {};
    return { timeoutMs: 15_000, attempts: 1, resumable: false, isLarge: false, ...gapMs, ...parts };
}

/** Stops some entries at once, and the next ones a while later. At least one entry is not among them at a time. */
function drawStops(random: Random, entries: number): PlannedSignal[] {
    const stops: PlannedSignal[] = [];
    const together = random.integer(1, Math.max(2, entries));
    const intervalMs = random.pick([ROLL_INTERVAL_MS, ROLL_INTERVAL_MS, random.between(300, 4_000)]);
    let entry = random.integer(0, entries);
    for (let atMs = random.between(500, 3_000); atMs < LAST_SIGNAL_MS; atMs += intervalMs) {
        const spreadMs = random.pick([0, 300]);
        for (let stopped = 0; stopped < together; stopped++) {
            stops.push({ atMs: atMs + random.between(0, spreadMs), entry: entry++ % entries, signal: "SIGTERM" });
        }
    }
    return stops;
}

/** Sends SIGHUP to entries at any time, in every second run. */
function drawHangups(random: Random, entries: number): PlannedSignal[] {
    const count = random.pick([0, random.integer(2, 8)]);
    return repeat(count, () => ({
        atMs: random.between(0, DURATION_MS),
        entry: random.integer(0, entries),
        signal: "SIGHUP" as const,
    }));
}

/** Stops control processes one at a time, in every second run. */
function drawControlStops(random: Random): PlannedControlStop[] {
    const count = random.pick([0, random.integer(1, 3)]);
    const firstAtMs = random.between(0, DURATION_MS - count * CONTROL_STOP_INTERVAL_MS);
    const first = random.integer(0, CONTROLS);
    return repeat(count, number => ({
        atMs: firstAtMs + number * CONTROL_STOP_INTERVAL_MS,
        control: (first + number) % CONTROLS,
    }));
}

function drawSilences(random: Random, upstreams: number): PlannedSilence[] {
    return repeat(random.pick([0, random.integer(1, 6)]), () => {
        const share = random.pick([0.3, 0.8, 1]);
        return {
            atMs: random.between(0, DURATION_MS),
            durationMs: random.between(...SILENCE_MS),
            upstreams: Array.from({ length: upstreams }, (_, number) => number).filter(() => random.next() < share),
            isFrozen: random.pick([false, true]),
        };
    });
}

function drawDocuments(random: Random): PlannedDocument[] {
    return repeat(random.integer(0, 4), number => ({
        atMs: (number + random.next()) * DURATION_MS / 4,
        document: makeDocument({
            version: number + 2,
            timeoutFactor: random.pick([1, 0.8, 0.6]),
            idleTimeoutMs: random.pick([15_000, 3_000, 1_000]),
            addedRoutes: random.integer(0, 3),
        }),
    }));
}

interface DocumentDraft {
    readonly version: number;
    readonly timeoutFactor: number;
    readonly idleTimeoutMs: number;
    readonly addedRoutes: number;
}

function makeDocument({ version, timeoutFactor, idleTimeoutMs, addedRoutes }: DocumentDraft): StopDocument {
    const added = repeat(addedRoutes, number => ({ ...STOP_ROUTES[0], name: `added-${number}` }));
    const routes = [...STOP_ROUTES, ...added].map(({ pool, events: _, isLarge: __, ...route }) => ({
        ...route,
        host: ROUTE_HOST,
        pathPrefix: `/${route.name}/`,
        timeoutMs: route.timeoutMs * timeoutFactor,
        targetMs: 1_000,
        tier: 1,
        keyless: true,
        targets: [{ pool, weight: 1 }],
    }));
    const document = {
        version,
        routes,
        pools: Object.keys(UPSTREAMS).map(pool => ({ pool, connections: 1_000 })),
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 5_000, idleTimeoutMs },
    };
    return document;
}

function repeat<Item>(count: number, make: (number: number) => Item): Item[] {
    return Array.from({ length: count }, (_, number) => make(number));
}
