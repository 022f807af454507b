/** Types and signal handling shared by the programs that run an entry or a control process. */
export * from "./answerOpenRequests/index.js";
export * from "./daemonPorts/index.js";
export * from "./stopSignals/index.js";
