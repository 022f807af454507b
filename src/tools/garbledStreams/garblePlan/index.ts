import { Random } from "../../../ports/index.js";
import { EntryDisturbance } from "../../disturbedEntries/index.js";
import { makeRandom } from "../../makeRandom/index.js";

/** What happens to an entry. */
export interface EntryEvent extends EntryDisturbance {
    /** Time from the start of the play, in milliseconds. */
    readonly atMs: number;
}

/** A time from which upstreams spoil certain shares of their streams. */
export interface GarblePhase {
    /** Time from the start of the play, in milliseconds. */
    readonly atMs: number;
    /** By upstream, from 0 to 1. */
    readonly shares: readonly number[];
}

/** One caller. */
export interface StreamCallerPlan {
    readonly seed: number;
    /** Share of its streams that it doesn't read to their end, from 0 to 1. */
    readonly leaves: number;
    /** Longest pause between two streams, in milliseconds. */
    readonly maxThinkMs: number;
}

/** Route of the document. */
export interface StreamRoute {
    readonly name: string;
    readonly isResumable: boolean;
    readonly attempts: number;
}

/** Everything that happens in one run, drawn from its seed. */
export interface GarblePlan {
    readonly entries: number;
    readonly controls: number;
    readonly upstreams: number;
    readonly callers: readonly StreamCallerPlan[];
    readonly events: readonly EntryEvent[];
    readonly phases: readonly GarblePhase[];
    /** Time in which callers begin streams, in milliseconds. */
    readonly durationMs: number;
}

/** Host header of all routes. */
export const STREAM_HOST = "letters.example";
/** Pool of all routes. */
export const STREAM_POOL = "writers";
export const STREAM_ROUTES: readonly StreamRoute[] = [
    { name: "drafts", isResumable: true, attempts: 3 },
    { name: "letters", isResumable: false, attempts: 1 },
];

const ENTRIES = 3;
const CONTROLS = 3;
const UPSTREAMS = 3;
const CALLERS_PER_ENTRY = 6;
const MAX_SEED = 1_000_000;
const DURATION_MS = 12_000;
const PHASES = 4;
const TIMEOUT_MS = 6_000;
const SERIES_PER_ENTRY = 2;
const FREEZE_MS: readonly [number, number] = [200, 1_500];
/** Between two disturbances of a series: shorter than most freezes and restarts. */
const SERIES_GAP_MS: readonly [number, number] = [50, 800];
const SERIES_LENGTH: readonly [number, number] = [1, 5];

/**
 * Draws a run: upstreams that spoil shares of their streams, and entries that are frozen, stopped and killed in series that overlap.
 *
 * @param seed - Determines the plan.
 * @param size - Factor on the number of processes and callers.
 * @example
 * const plan = drawGarblePlan(42, 1);
 */
export function drawGarblePlan(seed: number, size: number): GarblePlan {
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
        events: repeat(entries * SERIES_PER_ENTRY, () => drawSeries(random, entries)).flat(),
        phases: repeat(PHASES, number => ({
            atMs: number * DURATION_MS / PHASES,
            shares: repeat(UPSTREAMS, () => random.pick([0, 0.05, 0.2, 0.5])),
        })),
        durationMs: DURATION_MS,
    };
}

/** Makes the document of the play. */
export function makeStreamDocument(): object {
    return {
        version: 1,
        routes: STREAM_ROUTES.map(({ name, isResumable, attempts }) => ({
            name,
            attempts,
            host: STREAM_HOST,
            pathPrefix: `/${name}/`,
            kind: "stream",
            timeoutMs: TIMEOUT_MS,
            targetMs: 300,
            gapMs: 500,
            resumable: isResumable,
            tier: 1,
            keyless: true,
            targets: [{ pool: STREAM_POOL, weight: 1 }],
        })),
        pools: [{ pool: STREAM_POOL, connections: 1_000 }],
        limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000 },
    };
}

function drawSeries(random: Random, entries: number): EntryEvent[] {
    const entry = random.integer(0, entries);
    let atMs = random.between(500, DURATION_MS);
    return repeat(random.integer(...SERIES_LENGTH), () => {
        const kind = random.pick(["freeze", "freeze", "freeze", "stop", "kill"] as const);
        const event = { kind, entry, atMs, durationMs: random.between(...FREEZE_MS) };
        atMs += random.between(...SERIES_GAP_MS);
        return event;
    });
}

function repeat<Item>(count: number, make: (number: number) => Item): Item[] {
    return Array.from({ length: count }, (_, number) => make(number));
}
