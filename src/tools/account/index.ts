/** Statistics of ended calls per time window and route, computed from the entries' logs. */
export * from "./formatCallTable/index.js";
export * from "./parseCalls/index.js";
export * from "./plotCalls/index.js";
export * from "./summarizeCalls/index.js";
