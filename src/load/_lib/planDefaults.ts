/** How the stand-ins of every recorded trace work: small engines, so that a few hundred requests fill them. */
export const STAND_IN_PACE = {
    slots: 4,
    stepMs: 20,
    stepMsPerRequest: 0.5,
    prefillMsPerToken: 0.1,
    serviceMinMs: 5,
    serviceMaxMs: 40,
} as const;

/** What no trace may show, whatever fails in it. */
export const NOTHING_LOST = { lost: 0, doubled: 0 } as const;
