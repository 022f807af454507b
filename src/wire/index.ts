/**
 * Calls and one-way notices between the system's own processes: length-prefixed msgpack over one connection per pair.
 */
export * from "./frame/index.js";
export * from "./peerChannel/index.js";
export * from "./peerLink/index.js";
export * from "./peerRouter/index.js";
export * from "./peerServer/index.js";
export * from "./peerTraffic/index.js";
export * from "./trafficReporter/index.js";
