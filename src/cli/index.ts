/** The operators' tool `sequoiamux`. */
export * from "./cliError/index.js";
export * from "./commandDefinition/index.js";
export * from "./entryApi/index.js";
export * from "./operatorApi/index.js";
export * from "./output/index.js";
export * from "./profile/index.js";
export * from "./runCli/index.js";
