/** What is known of whether an upstream runs a request: the one place that decides what an answer proves. */
export * from "./execution/index.js";
export * from "./judgeReply/index.js";
export * from "./promisesNotRun/index.js";
