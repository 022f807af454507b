/** What became of calls, window by window, from the entries' logs. */
export * from "./formatAccount/index.js";
export * from "./plotAccount/index.js";
export * from "./readCalls/index.js";
export * from "./sumCalls/index.js";
