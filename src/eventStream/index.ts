/** Streams of server-sent events: what their bytes prove to be events, in which order. */
export * from "./eventError/index.js";
export * from "./eventNumbering/index.js";
export * from "./eventReader/index.js";
export * from "./eventRules/index.js";
export * from "./eventScanner/index.js";
export * from "./eventSequence/index.js";
export * from "./numberingHistory/index.js";
export * from "./parseEvent/index.js";
export * from "./poolNumberings/index.js";
