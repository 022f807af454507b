/** Wall time, estimated from the clocks of several hosts. */
export * from "./trueTime/index.js";
