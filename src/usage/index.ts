/**
 * Usage accounting by window: usage batches, request starts and token grants. Each batch counts once, a window's figures are frozen
 * when it closes, and each workspace's token limit is divided among the hosts.
 */
export * from "./positionCounter/index.js";
export * from "./runStarts/index.js";
export * from "./sequenceSet/index.js";
export * from "./spendLedger/index.js";
export * from "./startCounts/index.js";
export * from "./startLedger/index.js";
export * from "./startMeter/index.js";
export * from "./usageCommands/index.js";
export * from "./usageDurability/index.js";
export * from "./usageLedger/index.js";
export * from "./usageReport/index.js";
