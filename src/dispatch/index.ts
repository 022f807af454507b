/** The queue of each pool: order, admission, fair shares, shedding, grants. */
export * from "./admission/index.js";
export * from "./budget/index.js";
export * from "./dispatcher/index.js";
export * from "./lengths/index.js";
export * from "./localDispatcher/index.js";
export * from "./observer/index.js";
export * from "./order/index.js";
export * from "./policies/index.js";
export * from "./poolOwner/index.js";
export * from "./poolQueue/index.js";
export * from "./preemption/index.js";
export * from "./spending/index.js";
export * from "./ticket/index.js";
export * from "./waiting/index.js";
