/** The control processes: the replicated state, the operators' API, and the tasks of the one holder of the lease. */
export * from "./command/index.js";
export * from "./view/index.js";
