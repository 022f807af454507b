/** Requests from their admission to their final answer, and the registry of the requests of a process. */
export * from "./orOnAbort/index.js";
export * from "./requestRegistry/index.js";
export * from "./runningRequest/index.js";
