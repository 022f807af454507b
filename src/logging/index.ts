/** Logging as JSON lines. */
export * from "./boundedOutput/index.js";
export * from "./jsonLogger/index.js";
export * from "./logger/index.js";
export * from "./rejectionLog/index.js";
export * from "./silentLogger/index.js";
