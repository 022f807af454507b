import { EMULATOR_DEFAULTS, SAFETY_BOUNDS } from "../_lib/planDefaults.js";
import { TracePlan, WorkspacePlan } from "../generateTrace/index.js";

const MODEL = "drafting";
const LEDGER = "ledger";

function makeWorkspace(name: string, part: number, weight: number): WorkspacePlan {
    const system = `You draft for ${name} in the Reykjanes district ordering service for licensed family butchers. `
        + "Give weights in kilograms and cuts by their usual trade names. State the curing time of each smoked cut, the "
        + "shelf it goes to and the hour at which it must leave the cold room. Sheets list one carcass a block, the cuts in "
        + "the order of work, the customer's order number beside each cut, and what is left over at the end. Never guess a "
        + "weight: write that it must be weighed. Keep answers short, in plain words, without greetings.";
    return { name, part, weight, system };
}

/** Trace plan of a district ordering service in the morning: a burst of cutting sheets while orders and questions arrive. */
export const UTILITY_MORNING: TracePlan = {
    name: "utility-morning",
    zones: ["keflavik", "grindavik", "sandgerdi", "vogar"],
    classes: [
        { name: "sheets", tier: 0, first_token_ms: 2_000, token_ms: 80, max_wait_ms: 4_000, guaranteed_share: 0.4 },
        { name: "orders", tier: 0, first_token_ms: 800, token_ms: 80, max_wait_ms: 4_000, guaranteed_share: 0.2 },
        { name: "questions", tier: 1, first_token_ms: 1_500, token_ms: 80, max_wait_ms: 4_000, guaranteed_share: 0.2 },
        { name: "summaries", tier: 2, first_token_ms: 6_000, token_ms: 120, max_wait_ms: 8_000, guaranteed_share: 0.1 },
    ],
    workspaces: [
        makeWorkspace("ordering-desk", 8, 4),
        makeWorkspace("care-homes", 5, 2),
        makeWorkspace("school-kitchens", 5, 2),
        makeWorkspace("butcher-hafnargata", 2, 1),
        makeWorkspace("butcher-vikurbraut", 2, 1),
        makeWorkspace("butcher-strandgata", 2, 1),
        makeWorkspace("butcher-idndalur", 1, 1),
        makeWorkspace("butcher-tjarnargata", 1, 1),
        makeWorkspace("smokehouse-gardur", 1, 1),
        makeWorkspace("smokehouse-hafnir", 1, 1),
    ],
    traffic: [
        {
            kind: "chat",
            className: "sheets",
            model: MODEL,
            count: 50,
            startMs: 1_500,
            peakMs: 3_000,
            endMs: 6_000,
            workspaces: [],
            prompts: [
                "Cutting sheet for lamb carcasses # to #, delivery round #.",
                "Cutting sheet for hangikjot, lot #, for # households.",
                "Cutting sheet for shoulder and shank, order list #.",
            ],
            leastTokens: 70,
            mostTokens: 140,
            wholeShare: 0.1,
            leavingShare: 0,
        },
        {
            kind: "chat",
            className: "questions",
            model: MODEL,
            count: 80,
            startMs: 0,
            peakMs: 5_000,
            endMs: 10_000,
            workspaces: [],
            prompts: [
                "How long must a leg of # grams cure before it is smoked?",
                "Which cut suits a soup for # people?",
                "Is lot # ready for the care home round?",
                "What replaces saddle on order #?",
            ],
            leastTokens: 15,
            mostTokens: 50,
            wholeShare: 0.1,
            leavingShare: 0.05,
        },
        {
            kind: "chat",
            className: "summaries",
            model: MODEL,
            count: 110,
            startMs: 0,
            peakMs: 4_000,
            endMs: 10_000,
            workspaces: ["ordering-desk", "care-homes", "school-kitchens"],
            prompts: [
                "Summary of the # open orders of round #.",
                "Summary of changes since order #.",
                "Summary for school kitchen #.",
            ],
            leastTokens: 30,
            mostTokens: 90,
            wholeShare: 0.5,
            leavingShare: 0.02,
        },
        {
            kind: "service",
            className: "orders",
            service: LEDGER,
            path: "/orders",
            count: 60,
            startMs: 0,
            peakMs: 4_000,
            endMs: 10_000,
            workspaces: [],
            items: ["leg of lamb", "smoked shoulder", "hangikjot", "saddle", "lamb shank", "mince"],
        },
    ],
    bounds: {
        attainment: { sheets: 0.95, orders: 0.95, questions: 0.8, summaries: 0.8 },
        worst_workspace: 0.5,
        ...SAFETY_BOUNDS,
    },
    faults: [],
    emulator: {
        engines: 8,
        services: 4,
        pool: MODEL,
        service: LEDGER,
        zones: "keflavik,grindavik,sandgerdi,vogar",
        ...EMULATOR_DEFAULTS,
    },
};

/**
 * `UTILITY_MORNING` with reclaimable engines in two of the four zones: one of these zones is reclaimed with three seconds'
 * notice just before the peak, and an engine in another zone crashes.
 */
export const UTILITY_RECLAIM: TracePlan = {
    ...UTILITY_MORNING,
    name: "utility-reclaim",
    bounds: {
        attainment: { sheets: 0.8, orders: 0.95, questions: 0.45, summaries: 0.2 },
        worst_workspace: 0.3,
        ...SAFETY_BOUNDS,
    },
    faults: [
        { atMs: 2_000, action: { action: "reclaim-zone", zone: "vogar", noticeMs: 3_000 } },
        { atMs: 4_500, action: { action: "crash", upstream: `${MODEL}-keflavik-1` } },
        { atMs: 6_500, action: { action: "restart", upstream: `${MODEL}-keflavik-1` } },
    ],
    emulator: { ...UTILITY_MORNING.emulator, reclaimableZones: "sandgerdi,vogar" },
};
