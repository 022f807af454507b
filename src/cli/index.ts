/** The operator tool `sequoiamux`: its commands and the clients for the admin interfaces of control hosts and entries. */
export * from "./cliError/index.js";
export * from "./commandDefinition/index.js";
export * from "./entryApi/index.js";
export * from "./operatorApi/index.js";
export * from "./output/index.js";
export * from "./profile/index.js";
export * from "./runCli/index.js";
