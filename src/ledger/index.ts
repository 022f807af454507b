/** At-most-once records of non-repeatable calls. */
export * from "./callCommands/index.js";
export * from "./callLedger/index.js";
