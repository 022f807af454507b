/** A request from its admission to its final answer, and the requests that a process knows. */
export * from "./requestRegistry/index.js";
export * from "./runningRequest/index.js";
