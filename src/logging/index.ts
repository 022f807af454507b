/** Logs as JSON lines. */
export * from "./logger/index.js";
export * from "./silentLogger/index.js";
