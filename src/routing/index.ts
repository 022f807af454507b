/** The fleet document: routes, pools, limits, and workspaces with their keys. It is replaced as a whole, by version. */
export * from "./callRanks/index.js";
export * from "./checkDocument/index.js";
export * from "./documentStore/index.js";
export * from "./fixtures/index.js";
export * from "./fleetDocument/index.js";
export * from "./routeMatcher/index.js";
export * from "./routeTable/index.js";
