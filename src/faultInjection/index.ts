/** Replicas of the control log in one process, over the ports in memory, with faults by seed; for property tests and the soak tool. */
export * from "./replicaFleet/index.js";
export * from "./schedule/index.js";
