/**
 * Registry of announced upstreams, estimates of their load, caches and speed, and the policies that select one for a
 * request.
 */
export * from "./backOffs/index.js";
export * from "./firstTokenPolicy/index.js";
export * from "./firstTokenWeights/index.js";
export * from "./fixtures/index.js";
export * from "./partsPlacement/index.js";
export * from "./pauseForecast/index.js";
export * from "./poolMembers/index.js";
export * from "./prefillHistory/index.js";
export * from "./prefillLoad/index.js";
export * from "./prefillModel/index.js";
export * from "./prefillQueue/index.js";
export * from "./prefixIndex/index.js";
export * from "./promptCache/index.js";
export * from "./quietUpstreams/index.js";
export * from "./rejectionGuard/index.js";
export * from "./requestAllowance/index.js";
export * from "./requestLimits/index.js";
export * from "./requestRate/index.js";
export * from "./selectionPolicy/index.js";
export * from "./sensitiveStreams/index.js";
export * from "./softwareView/index.js";
export * from "./stragglerPolicy/index.js";
export * from "./upstream/index.js";
export * from "./upstreamHttp/index.js";
export * from "./upstreamLoad/index.js";
export * from "./upstreamRegistry/index.js";
export * from "./upstreamSignals/index.js";
export * from "./upstreamUse/index.js";
export * from "./upstreamWork/index.js";
