/** What happens at a moment of a scenario. */
export type ScenarioEvent =
    | { readonly kind: "straggler"; readonly atMs: number; readonly slowness: number; }
    | { readonly kind: "crash"; readonly atMs: number; readonly engines: number; }
    | { readonly kind: "reclaim"; readonly atMs: number; readonly noticeMs: number; }
    | { readonly kind: "owner-lost"; readonly atMs: number; };

/** A time in which a class or a workspace brings more than usual. */
export interface Burst {
    readonly fromMs: number;
    readonly toMs: number;
    /** Demand of the burst's pool as a multiple of what the pool can serve. */
    readonly load: number;
    /** It is the top class that bursts, not the deployment's usual one. */
    readonly isTopClass?: boolean;
    /** The workspace that brings it all; undefined: all of them, by their share. */
    readonly workspace?: number;
}

/** One story that all policy sets are put through, with the same requests. */
export interface Scenario {
    readonly name: string;
    readonly durationMs: number;
    readonly bursts: readonly Burst[];
    readonly events: readonly ScenarioEvent[];
    /** Reclaimable upstreams that each zone offers of a pool; undefined: as many as are wanted. */
    readonly reclaimableOffered?: number;
    readonly reportLagMs: number;
}

const DURATION_MS = 60_000;
const BURST = { fromMs: 20_000, toMs: 40_000 };
const PLAIN = { durationMs: DURATION_MS, bursts: [], events: [], reportLagMs: 300 };

export const SCENARIOS: readonly Scenario[] = [
    { ...PLAIN, name: "steady" },
    { ...PLAIN, name: "burst-2x", bursts: [{ ...BURST, load: 2 }] },
    { ...PLAIN, name: "burst-4x", bursts: [{ ...BURST, load: 4 }] },
    { ...PLAIN, name: "top-burst", bursts: [{ ...BURST, load: 1.2, isTopClass: true }] },
    { ...PLAIN, name: "straggler", events: [{ kind: "straggler", atMs: 15_000, slowness: 5 }] },
    {
        ...PLAIN,
        name: "straggler-in-burst",
        bursts: [{ ...BURST, load: 1.5 }],
        events: [{ kind: "straggler", atMs: 15_000, slowness: 5 }],
    },
    { ...PLAIN, name: "crash", events: [{ kind: "crash", atMs: 20_000, engines: 2 }], reportLagMs: 1_500 },
    {
        ...PLAIN,
        name: "reclaim-in-burst",
        bursts: [{ ...BURST, load: 2 }],
        events: [{ kind: "reclaim", atMs: 25_000, noticeMs: 5_000 }],
    },
    { ...PLAIN, name: "greedy-workspace", bursts: [{ ...BURST, load: 2, workspace: 0 }] },
    { ...PLAIN, name: "no-cheap-capacity", reclaimableOffered: 0, bursts: [{ ...BURST, load: 1.5 }] },
    {
        ...PLAIN,
        name: "owner-lost",
        bursts: [{ ...BURST, load: 1.5 }],
        events: [{ kind: "owner-lost", atMs: 25_000 }],
    },
];
