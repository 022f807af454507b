/** The queue of each pool: order, admission, fair shares, shedding, grants. */
export * from "./dispatcher/index.js";
export * from "./ticket/index.js";
