/**
 * Registry of announced upstreams, estimates of their load, caches and speed, and the policies that select one for a
 * request.
 */
export * from "./fixtures/index.js";
export * from "./load/index.js";
export * from "./members/index.js";
export * from "./partsPlacement/index.js";
export * from "./pauseForecast/index.js";
export * from "./prefillClock/index.js";
export * from "./prefillModel/index.js";
export * from "./prefixIndex/index.js";
export * from "./promptCache/index.js";
export * from "./readingHistory/index.js";
export * from "./readingLoad/index.js";
export * from "./requestAllowance/index.js";
export * from "./requestLimits/index.js";
export * from "./requestRate/index.js";
export * from "./routedChoice/index.js";
export * from "./routedWeights/index.js";
export * from "./selectionPolicy/index.js";
export * from "./stragglers/index.js";
export * from "./upstream/index.js";
export * from "./upstreamRegistry/index.js";
export * from "./upstreamWork/index.js";
