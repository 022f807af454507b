import { ControlAction, EngineFault, ServiceFault } from "../../emulator/index.js";
import { EMULATOR_DEFAULTS, SAFETY_BOUNDS } from "../_lib/planDefaults.js";
import { TracePlan, WorkspacePlan } from "../generateTrace/index.js";

const MODEL = "shared-model";
const DISPATCH = "dispatch";

function makeWorkspace(name: string, part: number, weight: number): WorkspacePlan {
    const system =
        `You answer drivers, depot clerks and pool engineers of ${name} on the shared dispatch platform of the Al `
        + "Batinah pool chemical distributors. Name each product by its UN number and class. Never put an acid and a "
        + "chlorine product on one load. Give amounts in litres and kilograms, distances in kilometres, and times in local "
        + "time. A safety summary says first what to do on contact, then what to wear, then how to store. A manifest lists "
        + "drums by pallet and adds up. A route names the gate and the hour at which it is open.";
    return { name, part, weight, system };
}

/** Trace plan of a shared dispatch platform at midday: drivers send routing requests in a burst while clerks book loads. */
export const CONSORTIUM_MIDDAY: TracePlan = {
    name: "consortium-midday",
    zones: ["sohar", "barka", "muscat"],
    classes: [
        { name: "safety", tier: 0, first_token_ms: 1_500, token_ms: 80, max_wait_ms: 4_000, guaranteed_share: 0.3 },
        { name: "bookings", tier: 0, first_token_ms: 800, token_ms: 80, max_wait_ms: 4_000, guaranteed_share: 0.2 },
        { name: "routing", tier: 1, first_token_ms: 2_000, token_ms: 80, max_wait_ms: 4_000, guaranteed_share: 0.3 },
        { name: "manifests", tier: 2, first_token_ms: 6_000, token_ms: 120, max_wait_ms: 8_000, guaranteed_share: 0.1 },
    ],
    workspaces: [
        makeWorkspace("distributor-sohar", 6, 3),
        makeWorkspace("distributor-barka", 6, 3),
        makeWorkspace("distributor-muscat", 6, 3),
        makeWorkspace("depot-falaj", 2, 1),
        makeWorkspace("depot-suwaiq", 2, 1),
        makeWorkspace("depot-rusayl", 2, 1),
        makeWorkspace("hotels-shore", 2, 1),
        makeWorkspace("hotels-hills", 1, 1),
        makeWorkspace("hotels-old-town", 1, 1),
        makeWorkspace("municipal-pools", 1, 1),
    ],
    traffic: [
        {
            kind: "chat",
            className: "routing",
            model: MODEL,
            count: 120,
            startMs: 2_000,
            peakMs: 3_500,
            endMs: 8_000,
            workspaces: [],
            prompts: [
                "Route for tanker # to gate # of the resort, road # is closed.",
                "Which gate takes load # now?",
                "Next stop for truck # with # drums left.",
            ],
            leastTokens: 20,
            mostTokens: 60,
            wholeShare: 0.1,
            leavingShare: 0.04,
        },
        {
            kind: "chat",
            className: "safety",
            model: MODEL,
            count: 60,
            startMs: 0,
            peakMs: 4_000,
            endMs: 10_000,
            workspaces: [],
            prompts: [
                "Safety summary for calcium hypochlorite, lot #.",
                "Safety summary for hydrochloric acid, drum #.",
                "What to do about a spill at bay #?",
            ],
            leastTokens: 40,
            mostTokens: 100,
            wholeShare: 0.1,
            leavingShare: 0,
        },
        {
            kind: "chat",
            className: "manifests",
            model: MODEL,
            count: 70,
            startMs: 0,
            peakMs: 5_000,
            endMs: 10_000,
            workspaces: [],
            prompts: [
                "Reconciled chlorine manifest for depot #, pallets # to #.",
                "Reconciled acid manifest for load #.",
            ],
            leastTokens: 40,
            mostTokens: 110,
            wholeShare: 0.5,
            leavingShare: 0.02,
        },
        {
            kind: "service",
            className: "bookings",
            service: DISPATCH,
            path: "/bookings",
            count: 60,
            startMs: 0,
            peakMs: 4_000,
            endMs: 10_000,
            workspaces: [],
            items: [
                "calcium hypochlorite",
                "trichlor tablets",
                "hydrochloric acid",
                "stabiliser",
                "sodium bicarbonate",
            ],
        },
    ],
    bounds: {
        attainment: { safety: 0.95, bookings: 0.95, routing: 0.75, manifests: 0.25 },
        worst_workspace: 0.5,
        ...SAFETY_BOUNDS,
    },
    faults: [],
    emulator: {
        engines: 8,
        services: 3,
        pool: MODEL,
        service: DISPATCH,
        zones: "sohar,barka,muscat",
        ...EMULATOR_DEFAULTS,
    },
};

/**
 * `CONSORTIUM_MIDDAY` with faults that upstreams do not report: a straggler, an engine that freezes, streams that break off or
 * stall, an answer to another request, and bookings whose answers are late, lost or belong to another request.
 */
export const CONSORTIUM_FAULTS: TracePlan = {
    ...CONSORTIUM_MIDDAY,
    name: "consortium-faults",
    bounds: {
        attainment: { safety: 0.9, bookings: 0.85, routing: 0.3, manifests: 0.15 },
        worst_workspace: 0.3,
        ...SAFETY_BOUNDS,
    },
    faults: [
        { atMs: 1_000, action: { action: "slow", upstream: `${MODEL}-sohar-1`, factor: 6 } },
        { atMs: 1_500, action: makeEngineFaults("barka-2", [{ kind: "cut", afterTokens: 5 }]) },
        { atMs: 2_000, action: makeEngineFaults("muscat-3", [{ kind: "unfinished", afterTokens: 8 }]) },
        { atMs: 2_500, action: makeEngineFaults("sohar-4", [{ kind: "silent", afterTokens: 3 }]) },
        { atMs: 3_000, action: makeEngineFaults("barka-5", [{ kind: "crossed", id: "another-request" }]) },
        { atMs: 3_500, action: { action: "freeze", upstream: `${MODEL}-muscat-6` } },
        { atMs: 6_500, action: { action: "thaw", upstream: `${MODEL}-muscat-6` } },
        { atMs: 1_500, action: makeServiceFaults("sohar-1", [{ kind: "lost" }, { kind: "late", delayMs: 1_500 }]) },
        { atMs: 2_500, action: makeServiceFaults("barka-2", [{ kind: "crossed", id: "another-request" }]) },
        { atMs: 3_500, action: makeServiceFaults("muscat-3", [{ kind: "late", delayMs: 3_000 }, { kind: "lost" }]) },
    ],
};

function makeEngineFaults(engine: string, faults: EngineFault[]): ControlAction {
    return { action: "engine-faults", upstream: `${MODEL}-${engine}`, faults };
}

function makeServiceFaults(service: string, faults: ServiceFault[]): ControlAction {
    return { action: "service-faults", upstream: `${DISPATCH}-${service}`, faults };
}
