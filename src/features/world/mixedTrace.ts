import { Trace, TraceHeader, TraceRequest } from "../../load/index.js";

/** The workspaces of a mixed trace. */
export const MIXED_WORKSPACES = ["hotel", "depot"] as const;
/** The model and the service of the emulator's own settings. */
export const MIXED_MODEL = "draft";
const SERVICE = "orders";
const CLASS = "summary";
const TOKENS = 60;

const HEADER: TraceHeader = {
    version: 1,
    name: "mixed",
    zones: ["keflavik", "grindavik", "vogar"],
    models: [MIXED_MODEL],
    services: [SERVICE],
    classes: [{
        name: CLASS,
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

/** How a mixed trace is made up. */
export interface MixedPlan {
    readonly chats: number;
    readonly orders: number;
    /** All are sent within this time, in milliseconds. */
    readonly withinMs: number;
}

/**
 * Makes a trace of chats and of orders that must not run twice, evenly over a time. Its targets are wide: it states what
 * becomes of requests, not how soon.
 */
export function makeMixedTrace({ chats, orders, withinMs }: MixedPlan): Trace {
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
        class: CLASS,
        kind: "chat",
        model: MIXED_MODEL,
        messages: [{ role: "user", content: `chat ${index} [tokens=${TOKENS}]` }],
        max_tokens: TOKENS,
        tokens: TOKENS,
        stream: true,
    };
}

function makeOrder(index: number, at_ms: number): TraceRequest {
    return {
        at_ms,
        workspace: pickWorkspace(index),
        class: CLASS,
        kind: "service",
        service: SERVICE,
        path: "/book",
        body: { order: index },
        idempotency_key: `order-${index}`,
    };
}
