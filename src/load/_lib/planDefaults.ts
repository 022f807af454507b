/** Emulator settings common to all trace plans: small engines, so that a few hundred requests saturate them. */
export const EMULATOR_DEFAULTS = {
    slots: 4,
    stepMs: 20,
    stepMsPerRequest: 0.5,
    prefillMsPerToken: 0.1,
    serviceMinMs: 5,
    serviceMaxMs: 40,
} as const;

/** Bounds common to all trace plans: no request may be lost or doubled, whichever faults are injected. */
export const SAFETY_BOUNDS = { lost: 0, doubled: 0 } as const;
