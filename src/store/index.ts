/**
 * Files of the control log: one identity per data folder, the vote, the snapshot, and segments of checksummed records.
 */
export * from "./logStore/index.js";
export * from "./recordJournal/index.js";
export * from "./storeError/index.js";
