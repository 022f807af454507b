/** The replicated log that keeps the control processes' state alike: election, replication, leases, snapshots, members. */
export * from "./controlLog/index.js";
export * from "./stateMachine/index.js";
