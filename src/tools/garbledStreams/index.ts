/** A random schedule of upstreams that spoil their streams, beside entries that freeze and restart. */
export * from "./checkGarbledStreams/index.js";
export * from "./drawGarbledReply/index.js";
export * from "./reportGarbledStreams/index.js";
export * from "./runGarbledStreams/index.js";
export * from "./streamShapes/index.js";
export * from "./streamStyles/index.js";
