import { Ticket } from "../ticket/index.js";

/** A ticket of tier 0 with generous bounds, for tests; the fields that a test is about are given. */
export function makeTicket(fields: Partial<Record<keyof Ticket, unknown>>): Ticket {
    return {
        request: "r1",
        origin: "host-1",
        workspace: "w1",
        className: "sheets",
        tier: 0,
        weight: 1,
        pool: "draft",
        promptTokens: 100,
        maxTokens: 100,
        firstTokenMs: 10_000,
        tokenMs: 50,
        maxWaitMs: 10_000,
        guaranteedShare: 0,
        ageMs: 0,
        prefixes: [],
        resumable: false,
        repeatable: true,
        avoid: [],
        resumeOffset: 0,
        ...fields,
    } as Ticket;
}
