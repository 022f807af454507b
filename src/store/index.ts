/** The control log's files: one identity for each data folder, vote, snapshot, and segments of checksummed records. */
export * from "./logStore/index.js";
export * from "./storeError/index.js";
