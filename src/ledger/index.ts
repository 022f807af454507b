/** Records of non-repeatable calls, which ensure that each call runs at most once. */
export * from "./callCommands/index.js";
export * from "./callLedger/index.js";
