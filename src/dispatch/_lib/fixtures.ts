import { Ticket } from "../ticket/index.js";

/** Creates a ticket of tier 0 with long time limits, for tests; `fields` overrides the defaults. */
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
