import { Trace, TraceHeader, TraceRequest } from "../../load/index.js";

/** The workspaces whose requests a mixed trace contains. */
export const MIXED_WORKSPACES = ["hotel", "depot"] as const;
/** The model that the emulator's default settings serve. */
export const MIXED_MODEL = "draft";
/** The service that the emulator's default settings serve. */
const SERVICE = "orders";
const CLASS_NAME = "summary";
const TOKENS_PER_CHAT = 60;

const HEADER: TraceHeader = {
    version: 1,
    name: "mixed",
    zones: ["keflavik", "grindavik", "vogar"],
    models: [MIXED_MODEL],
    services: [SERVICE],
    classes: [{
        name: CLASS_NAME,
        tier: 0,
        first_token_ms: 30_000,
        token_ms: 1_000,
        max_wait_ms: 60_000,
        guaranteed_share: 0,
    }],
    workspaces: MIXED_WORKSPACES.map(name => ({ name, weight: 1 })),
    bounds: { attainment: {}, worst_workspace: 0, lost: 0, doubled: 0 },
    emulator: {},
};

/** Contents of a mixed trace. */
export interface MixedTracePlan {
    /** Number of chats. */
    readonly chats: number;
    /** Number of orders. */
    readonly orders: number;
    /** Time over which the requests are spread, in milliseconds. */
    readonly withinMs: number;
}

/**
 * Makes a trace of chats, and of orders that must not run twice, spread evenly over a time. Its latency targets are wide, because it
 * tests the outcome of requests and not their latency.
 */
export function makeMixedTrace({ chats, orders, withinMs }: MixedTracePlan): Trace {
    const requests = [
        ...Array.from({ length: chats }, (_, index) => makeChat(index, index * withinMs / chats)),
        ...Array.from({ length: orders }, (_, index) => makeOrder(index, index * withinMs / orders)),
    ];
    return { header: HEADER, requests: requests.sort((a, b) => a.at_ms - b.at_ms), faults: [] };
}

function pickWorkspace(index: number): string {
    return MIXED_WORKSPACES[index % MIXED_WORKSPACES.length];
}

function makeChat(index: number, at_ms: number): TraceRequest {
    return {
        at_ms,
        workspace: pickWorkspace(index),
        class: CLASS_NAME,
        kind: "chat",
        model: MIXED_MODEL,
        messages: [{ role: "user", content: `chat ${index} [tokens=${TOKENS_PER_CHAT}]` }],
        max_tokens: TOKENS_PER_CHAT,
        tokens: TOKENS_PER_CHAT,
        stream: true,
    };
}

function makeOrder(index: number, at_ms: number): TraceRequest {
    return {
        at_ms,
        workspace: pickWorkspace(index),
        class: CLASS_NAME,
        kind: "service",
        service: SERVICE,
        path: "/book",
        body: { order: index },
        idempotency_key: `order-${index}`,
    };
}
