/** Generates traces, replays them as callers would send them, and reports the result of each request. */
export * from "./caller/index.js";
export * from "./computePercentiles/index.js";
export * from "./consortiumPlan/index.js";
export * from "./crossCheck/index.js";
export * from "./emulatorClient/index.js";
export * from "./formatReport/index.js";
export * from "./generateTrace/index.js";
export * from "./makeTraceTemplate/index.js";
export * from "./measureEngines/index.js";
export * from "./progress/index.js";
export * from "./replayTrace/index.js";
export * from "./requestResult/index.js";
export * from "./summarizeReplay/index.js";
export * from "./trace/index.js";
export * from "./utilityPlan/index.js";
