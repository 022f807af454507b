/** Fault that a scenario injects at a given time. */
export type ScenarioEvent =
    | { readonly kind: "straggler"; readonly atMs: number; readonly slowdownFactor: number; }
    | { readonly kind: "crash"; readonly atMs: number; readonly engines: number; }
    | { readonly kind: "reclaim"; readonly atMs: number; readonly noticeMs: number; }
    | { readonly kind: "owner-lost"; readonly atMs: number; };

/** Period in which one class gets additional traffic. */
export interface Burst {
    readonly fromMs: number;
    readonly toMs: number;
    /** Demand on the class's pool during the burst, as a multiple of the pool's capacity. */
    readonly load: number;
    /** Whether the class of tier 0 gets the burst instead of the deployment's `burstClass`. */
    readonly targetsTopClass?: boolean;
    /** Index of the only workspace that sends the burst; undefined: all workspaces, by their share of traffic. */
    readonly workspace?: number;
}

/** Load and faults that every policy set is tested with, using the same requests. */
export interface Scenario {
    readonly name: string;
    readonly durationMs: number;
    readonly bursts: readonly Burst[];
    readonly events: readonly ScenarioEvent[];
    /** Maximum of reclaimable upstreams per zone and pool; undefined: the zone's share of the pool's engines. */
    readonly maxReclaimablePerZone?: number;
    /** Age of the load that engines report, in milliseconds. */
    readonly reportLagMs: number;
}

const DURATION_MS = 60_000;
const BURST_PERIOD = { fromMs: 20_000, toMs: 40_000 };
const SCENARIO_DEFAULTS = { durationMs: DURATION_MS, bursts: [], events: [], reportLagMs: 300 };

/** All scenarios of the bench. */
export const SCENARIOS: readonly Scenario[] = [
    { ...SCENARIO_DEFAULTS, name: "steady" },
    { ...SCENARIO_DEFAULTS, name: "burst-2x", bursts: [{ ...BURST_PERIOD, load: 2 }] },
    { ...SCENARIO_DEFAULTS, name: "burst-4x", bursts: [{ ...BURST_PERIOD, load: 4 }] },
    { ...SCENARIO_DEFAULTS, name: "top-burst", bursts: [{ ...BURST_PERIOD, load: 1.2, targetsTopClass: true }] },
    { ...SCENARIO_DEFAULTS, name: "straggler", events: [{ kind: "straggler", atMs: 15_000, slowdownFactor: 5 }] },
    {
        ...SCENARIO_DEFAULTS,
        name: "straggler-in-burst",
        bursts: [{ ...BURST_PERIOD, load: 1.5 }],
        events: [{ kind: "straggler", atMs: 15_000, slowdownFactor: 5 }],
    },
    { ...SCENARIO_DEFAULTS, name: "crash", events: [{ kind: "crash", atMs: 20_000, engines: 2 }], reportLagMs: 1_500 },
    {
        ...SCENARIO_DEFAULTS,
        name: "reclaim-in-burst",
        bursts: [{ ...BURST_PERIOD, load: 2 }],
        events: [{ kind: "reclaim", atMs: 25_000, noticeMs: 5_000 }],
    },
    { ...SCENARIO_DEFAULTS, name: "greedy-workspace", bursts: [{ ...BURST_PERIOD, load: 2, workspace: 0 }] },
    {
        ...SCENARIO_DEFAULTS,
        name: "no-cheap-capacity",
        maxReclaimablePerZone: 0,
        bursts: [{ ...BURST_PERIOD, load: 1.5 }],
    },
    {
        ...SCENARIO_DEFAULTS,
        name: "owner-lost",
        bursts: [{ ...BURST_PERIOD, load: 1.5 }],
        events: [{ kind: "owner-lost", atMs: 25_000 }],
    },
];
