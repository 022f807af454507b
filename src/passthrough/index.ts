/**
 * Routed calls: requests of any path and body, routed by the fleet document and passed through to upstreams unchanged.
 */
export * from "./callContext/index.js";
export * from "./callDialect/index.js";
export * from "./callDurations/index.js";
export * from "./callError/index.js";
export * from "./endToEndHeaders/index.js";
export * from "./nativeDialect/index.js";
export * from "./readRequestLimit/index.js";
export * from "./readRetryAfter/index.js";
export * from "./readSignals/index.js";
export * from "./repeatBudget/index.js";
export * from "./repeatPermit/index.js";
export * from "./serveCalls/index.js";
