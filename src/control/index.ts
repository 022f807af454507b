/** The control processes: the replicated state, the operators' API, and the tasks of the one holder of the lease. */
export * from "./command/index.js";
export * from "./controlClient/index.js";
export * from "./controlService/index.js";
export * from "./entryCommandSchema/index.js";
export * from "./entryTable/index.js";
export * from "./memoryControlLog/index.js";
export * from "./state/index.js";
export * from "./view/index.js";
export * from "./viewCache/index.js";
export * from "./viewHistory/index.js";
