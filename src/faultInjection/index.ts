/** Simulated fleets of real processes over in-memory ports, with faults drawn from a seed or injected by a test. */
export * from "./callSchedule/index.js";
export * from "./checkRepeats/index.js";
export * from "./checkStreams/index.js";
export * from "./pathSchedule/index.js";
export * from "./powerSchedule/index.js";
export * from "./promptLoad/index.js";
export * from "./recordingLogger/index.js";
export * from "./repeatLoad/index.js";
export * from "./repeatSchedule/index.js";
export * from "./replacementSchedule/index.js";
export * from "./replicaFleet/index.js";
export * from "./routedFleet/index.js";
export * from "./schedule/index.js";
export * from "./sendCalls/index.js";
export * from "./softwareSchedule/index.js";
export * from "./streamCaller/index.js";
export * from "./testCaller/index.js";
