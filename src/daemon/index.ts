/** Types shared by the programs that run an entry or a control process. */
export * from "./daemonPorts/index.js";
