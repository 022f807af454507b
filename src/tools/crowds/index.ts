/** Crowds of callers that hold as much of a process as they can, against the system's own processes. */
export * from "./crowd/index.js";
export * from "./crowdFleet/index.js";
export * from "./crowdShapes/index.js";
export * from "./processUsage/index.js";
