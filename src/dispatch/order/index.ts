/** In which order a pool's queue gives out slots. */
export * from "./fifoOrder/index.js";
export * from "./orderPolicy/index.js";
export * from "./tierFairOrder/index.js";
