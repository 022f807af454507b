/** The size of the users' first letter, and what follows from it. */
export const SIZE = {
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

/** What a node may spend on control, and how soon a change must be in force. */
export const BUDGET = {
    processorMsPerSecond: 13,
    memoryBytes: 128_000_000,
    bytesPerSecond: 4_096,
    inForceMs: 7_000,
} as const;

/** What the letter does not say and the page takes for granted. */
export const ASSUMED = {
    /** The busiest second of a day beside the mean: changes come in bursts. */
    changePeak: 10,
    /** Bytes of IP and TCP headers on each packet, with timestamps. */
    packetBytes: 52,
    announcementsPerSecond: 2,
    cacheEvents: 8,
    /** Different pools and classes that a workspace uses within a usage window. */
    linesPerWorkspace: 1.5,
    windowSeconds: 60,
    /** One request in so many is a call that must not be repeated. */
    callsOneIn: 20,
    callRetentionSeconds: 86_400,
    /** Changes of the list of entries by one restart (draining, gone, back) and by one failure (gone, back). */
    listChangesByRestart: 3,
    listChangesByFailure: 2,
    regionRoundTripMs: 150,
} as const;

const DAY_SECONDS = 86_400;

/** What one node has to do. */
export const NODE = {
    requestsPerSecond: SIZE.requestsPerSecond / SIZE.nodes,
    tokensPerSecond: SIZE.tokensPerSecond / SIZE.nodes,
    announcementsPerSecond: SIZE.upstreams * ASSUMED.announcementsPerSecond / SIZE.nodes,
    openStreams: SIZE.requestsPerSecond / SIZE.nodes
        * (SIZE.tokensPerSecond / SIZE.requestsPerSecond * SIZE.tokenMs / 1_000 + SIZE.firstTokenSeconds),
    changesPerSecond: SIZE.changesPerDay / DAY_SECONDS,
    queues: SIZE.models * SIZE.regions,
    listChangesPerDay: SIZE.restartsPerDay * ASSUMED.listChangesByRestart
        + SIZE.failuresPerDay * ASSUMED.listChangesByFailure,
    secondsPerDay: DAY_SECONDS,
} as const;
