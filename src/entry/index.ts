/** The entry processes: callers' connections, streams, retries, meters, and the queues that they own. */
export { DEFAULT_ENTRY_LIMITS, type EntryLimits } from "./entryContext/index.js";
export * from "./entryProcess/index.js";
export * from "./processAdmin/index.js";
export * from "./queueHost/index.js";
export * from "./serveAnnouncements/index.js";
