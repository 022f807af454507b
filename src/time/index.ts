/** What time it is, as the hosts of a fleet agree on it. */
export * from "./trueTime/index.js";
