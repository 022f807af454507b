/** At-most-once records of non-repeatable calls. */
export * from "./callLedger/index.js";
