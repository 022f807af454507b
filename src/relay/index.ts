/**
 * Access to upstreams while a host has lost its paths to them: whether it has, and the way through other hosts of the fleet.
 */
export * from "./pathMonitor/index.js";
export * from "./relayDirectory/index.js";
export * from "./relayServer/index.js";
export * from "./upstreamAccess/index.js";
