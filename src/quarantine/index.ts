/**
 * Quarantine of requests that crash the upstreams that run them: such requests are identified by their content and not
 * sent to further upstreams.
 */
export * from "./crashGuard/index.js";
export * from "./identifyMessage/index.js";
export * from "./partGuard/index.js";
export * from "./partTable/index.js";
export * from "./quarantineTable/index.js";
export * from "./requestFingerprint/index.js";
export * from "./servedParts/index.js";
export * from "./servedRequests/index.js";
