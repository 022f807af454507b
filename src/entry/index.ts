/** Entry processes: callers' connections, streams, retries, usage metering, and the queues of the pools that they own. */
export { DEFAULT_ENTRY_LIMITS, type EntryLimits } from "./entryContext/index.js";
export * from "./entryProcess/index.js";
export * from "./entryProcessAdmin/index.js";
export * from "./queueHost/index.js";
export * from "./serveAnnouncements/index.js";
