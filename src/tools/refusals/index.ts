/** A random schedule of upstreams that refuse, repeat and garble their answers, beside entries that freeze and restart. */
export * from "./checkRefusals/index.js";
export * from "./refusalPlan/index.js";
export * from "./reportRefusals/index.js";
export * from "./runRefusals/index.js";
