/** Order policies: which waiting ticket gets a pool's next free slot. */
export * from "./fifoOrder/index.js";
export * from "./orderPolicy/index.js";
export * from "./tierFairOrder/index.js";
