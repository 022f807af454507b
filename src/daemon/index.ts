/** What every program that runs a role of the system shares. */
export * from "./daemonPorts/index.js";
