/** Capacity planning: the demand forecast, the number of upstreams to run by zone and kind, and the artifacts to load ahead of demand. */
export * from "./coverPurchase/index.js";
export * from "./demandForecast/index.js";
export * from "./mix/index.js";
export * from "./prefetch/index.js";
export * from "./purchasePolicy/index.js";
export * from "./staticPurchase/index.js";
export * from "./zonePlan/index.js";
