/** The registry of announced upstreams, their load, cache and pace, and the choice among them. */
export * from "./choice/index.js";
export * from "./fixtures/index.js";
export * from "./load/index.js";
export * from "./members/index.js";
export * from "./pauseForecast/index.js";
export * from "./prefillClock/index.js";
export * from "./prefillModel/index.js";
export * from "./prefixes/index.js";
export * from "./promptCache/index.js";
export * from "./readingHistory/index.js";
export * from "./registry/index.js";
export * from "./routedChoice/index.js";
export * from "./stragglers/index.js";
export * from "./upstream/index.js";
