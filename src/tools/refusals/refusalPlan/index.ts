import { Random } from "../../../ports/index.js";
import { EntryDisturbance } from "../../disturbedEntries/index.js";
import { makeRandom } from "../../makeRandom/index.js";
import { UpstreamHabit } from "../drawRawReply/index.js";

/** What happens to an entry. */
export interface EntryEvent extends Omit<EntryDisturbance, "kind"> {
    /** Time from the start of the play, in milliseconds. */
    readonly atMs: number;
    readonly kind:
        | EntryDisturbance["kind"]
        /** Callers send it large requests one after the other, for `durationMs`. */
        | "load";
}

/** A time from which upstreams behave in a certain way. */
export interface Phase {
    readonly atMs: number;
    /** By upstream of each pool. */
    readonly habits: readonly UpstreamHabit[];
}

/** Route of the document. */
export interface RefusalRoute {
    readonly name: string;
    readonly kind: "once" | "stream" | "idempotent";
    readonly attempts: number;
    readonly timeoutMs: number;
}

/** Everything that happens in one run, drawn from its seed. */
export interface RefusalPlan {
    readonly entries: number;
    readonly controls: number;
    readonly upstreams: number;
    readonly callers: readonly RefusalCallerPlan[];
    readonly events: readonly EntryEvent[];
    readonly phases: readonly Phase[];
    /** Time in which callers begin requests, in milliseconds. */
    readonly durationMs: number;
}

/** One caller. */
export interface RefusalCallerPlan {
    readonly seed: number;
    /** Share of its requests whose answer it doesn't wait for, from 0 to 1. */
    readonly leaves: number;
    /** Longest pause between two requests, in milliseconds. */
    readonly maxThinkMs: number;
}

/** Host header of all routes. */
export const REFUSAL_HOST = "shop.example";
/** Pool of all routes. */
export const REFUSAL_POOL = "ledger";
export const REFUSAL_ROUTES: readonly RefusalRoute[] = [
    { name: "orders", kind: "once", attempts: 1, timeoutMs: 1_500 },
    { name: "payments", kind: "once", attempts: 3, timeoutMs: 800 },
    { name: "letters", kind: "stream", attempts: 1, timeoutMs: 1_500 },
    { name: "lookups", kind: "idempotent", attempts: 2, timeoutMs: 1_500 },
];

const ENTRIES = 3;
const CONTROLS = 3;
const UPSTREAMS = 3;
const CALLERS_PER_ENTRY = 8;
const MAX_SEED = 1_000_000;
const DURATION_MS = 12_000;
const FREEZE_MS: readonly [number, number] = [200, 2_000];
const LOAD_MS: readonly [number, number] = [500, 3_000];
const PHASES = 4;
const EVENTS_PER_ENTRY = 3;

/**
 * Draws a run: upstreams whose habits change, and entries that freeze, are loaded, stopped and killed, some at the same time.
 *
 * @param seed - Determines the plan.
 * @param size - Factor on the number of processes and callers.
 * @example
 * const plan = drawRefusalPlan(42, 1);
 */
export function drawRefusalPlan(seed: number, size: number): RefusalPlan {
    const random = makeRandom(seed);
    const entries = ENTRIES * size;
    return {
        entries,
        controls: CONTROLS,
        upstreams: UPSTREAMS,
        callers: repeat(entries * CALLERS_PER_ENTRY, () => ({
            seed: random.integer(1, MAX_SEED),
            leaves: random.pick([0, 0, 0, 0.2]),
            maxThinkMs: random.pick([0, 20, 100, 400]),
        })),
        events: repeat(entries * EVENTS_PER_ENTRY, () => drawEvent(random, entries)),
        phases: repeat(PHASES, number => ({
            atMs: number * DURATION_MS / PHASES,
            habits: repeat(UPSTREAMS, () => drawHabit(random)),
        })),
        durationMs: DURATION_MS,
    };
}

/** Makes the document of the play. */
export function makeRefusalDocument(): object {
    return {
        version: 1,
        routes: REFUSAL_ROUTES.map(route => ({
            ...route,
            host: REFUSAL_HOST,
            pathPrefix: `/${route.name}/`,
            targetMs: 300,
            resumable: false,
            ...(route.kind === "stream" ? { gapMs: 500 } : {}),
            tier: 1,
            keyless: true,
            targets: [{ pool: REFUSAL_POOL, weight: 1 }],
        })),
        pools: [{ pool: REFUSAL_POOL, connections: 1_000 }],
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 },
    };
}

function drawEvent(random: Random, entries: number): EntryEvent {
    const kind = random.pick(["freeze", "freeze", "freeze", "stop", "kill", "load"] as const);
    const durationMs = random.between(...(kind === "load" ? LOAD_MS : FREEZE_MS));
    return { kind, durationMs, atMs: random.between(500, DURATION_MS), entry: random.integer(0, entries) };
}

function drawHabit(random: Random): UpstreamHabit {
    return {
        refuses: random.pick([0, 0.3, 0.7, 0.9]),
        errs: random.pick([0, 0.02, 0.1]),
        copies: random.pick([0, 0.3, 1]),
    };
}

function repeat<Item>(count: number, make: (number: number) => Item): Item[] {
    return Array.from({ length: count }, (_, number) => make(number));
}
