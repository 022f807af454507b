/** The launchers, for tests that need processes of their own. */
export * from "./deployTrace/index.js";
export * from "./fleet/index.js";
export * from "./freePorts/index.js";
export * from "./processes/index.js";
export * from "./scratchFolder/index.js";
