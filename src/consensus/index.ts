/**
 * Replicated log that keeps the state of the control processes identical: election, replication, leases, snapshots and
 * membership changes.
 */
export type { BootstrapMember } from "./clusterBootstrap/index.js";
export * from "./controlLog/index.js";
export type { DepartureResult } from "./departure/index.js";
export * from "./logTiming/index.js";
export { type Configuration, findVoters, type Member } from "./member/index.js";
export * from "./replicatedLog/index.js";
export * from "./stateMachine/index.js";
