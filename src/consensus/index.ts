/** The replicated log that keeps the control processes' state alike: election, replication, leases, snapshots, members. */
export * from "./controlLog/index.js";
export type { BootstrapMember } from "./founding/index.js";
export * from "./logTiming/index.js";
export type { Configuration, Member } from "./member/index.js";
export * from "./replicatedLog/index.js";
export * from "./stateMachine/index.js";
