/** Statistics of ended calls per time window and route, computed from the entries' logs. */
export * from "./formatAccount/index.js";
export * from "./parseCalls/index.js";
export * from "./plotAccount/index.js";
export * from "./sumCalls/index.js";
