/** System size that the users expect in about two years, for which capacity is computed. */
export const TARGET_SIZE = {
    nodes: 410,
    upstreams: 1_800,
    requestsPerSecond: 7_900,
    tokensPerSecond: 2_000_000,
    tokenMs: 37,
    firstTokenSeconds: 1.4,
    workspaces: 40_000,
    models: 9,
    regions: 4,
    zones: 14,
    changesPerDay: 9_500,
    failuresPerDay: 36,
    restartsPerDay: 130,
    controlHosts: 9,
} as const;

/** Budgets for control on a node, and the time within which a change must be in force. */
export const BUDGET = {
    processorMsPerSecond: 13,
    memoryBytes: 128_000_000,
    bytesPerSecond: 4_096,
    inForceMs: 7_000,
} as const;

/** Assumptions where the users' requirements give no figure. */
export const ASSUMPTIONS = {
    /** Ratio of the busiest second of a day to the mean: changes come in bursts. */
    changePeak: 10,
    /** Bytes of IP and TCP headers on each packet, with timestamps. */
    packetBytes: 52,
    announcementsPerSecond: 2,
    cacheEvents: 8,
    /** Different pools and classes that a workspace uses within a usage window. */
    linesPerWorkspace: 1.5,
    windowSeconds: 60,
    /** One request in this number is a call that must not be repeated. */
    callsOneIn: 20,
    callRetentionSeconds: 86_400,
    /** Changes of the list of entries per restart (draining, gone, back) and per failure (gone, back). */
    listChangesByRestart: 3,
    listChangesByFailure: 2,
    regionRoundTripMs: 150,
} as const;

const DAY_SECONDS = 86_400;

/** Load derived from the size: rates and streams of one node, and the queues and list changes of the whole system. */
export const DERIVED_LOAD = {
    requestsPerSecond: TARGET_SIZE.requestsPerSecond / TARGET_SIZE.nodes,
    tokensPerSecond: TARGET_SIZE.tokensPerSecond / TARGET_SIZE.nodes,
    announcementsPerSecond: TARGET_SIZE.upstreams * ASSUMPTIONS.announcementsPerSecond / TARGET_SIZE.nodes,
    openStreams: TARGET_SIZE.requestsPerSecond / TARGET_SIZE.nodes
        * (TARGET_SIZE.tokensPerSecond / TARGET_SIZE.requestsPerSecond * TARGET_SIZE.tokenMs / 1_000
            + TARGET_SIZE.firstTokenSeconds),
    changesPerSecond: TARGET_SIZE.changesPerDay / DAY_SECONDS,
    queues: TARGET_SIZE.models * TARGET_SIZE.regions,
    listChangesPerDay: TARGET_SIZE.restartsPerDay * ASSUMPTIONS.listChangesByRestart
        + TARGET_SIZE.failuresPerDay * ASSUMPTIONS.listChangesByFailure,
    secondsPerDay: DAY_SECONDS,
} as const;
