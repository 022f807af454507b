/** Launchers of local processes, and helpers for tests that start separate processes. */
export * from "./deployTrace/index.js";
export * from "./disturbedEntries/index.js";
export * from "./exchangeCall/index.js";
export * from "./findFreePorts/index.js";
export * from "./fleet/index.js";
export * from "./formatRawStream/index.js";
export * from "./garbledStreams/index.js";
export * from "./groupBy/index.js";
export * from "./makeRandom/index.js";
export * from "./processes/index.js";
export * from "./rawAnswer/index.js";
export * from "./rawUpstream/index.js";
export * from "./refusals/index.js";
export * from "./routedProcesses/index.js";
export * from "./scratchFolder/index.js";
export * from "./stops/index.js";
export * from "./writeFaults/index.js";
