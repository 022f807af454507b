/** A random schedule of planned stops and silent upstreams, played against separate processes. */
export * from "./checkStops/index.js";
export * from "./reportStops/index.js";
export * from "./runStops/index.js";
export * from "./stopPlan/index.js";
