/** Replays recorded traces as callers would send them, and states what each request came to. */
export * from "./attainment/index.js";
export * from "./caller/index.js";
export * from "./consortiumPlan/index.js";
export * from "./crossCheck/index.js";
export * from "./emulatorClient/index.js";
export * from "./measureEngine/index.js";
export * from "./outcome/index.js";
export * from "./progress/index.js";
export * from "./recordTrace/index.js";
export * from "./replay/index.js";
export * from "./report/index.js";
export * from "./spread/index.js";
export * from "./trace/index.js";
export * from "./traceTemplate/index.js";
export * from "./utilityPlan/index.js";
