/** Templates, the workspaces created from them, and their API keys: access configuration with revisions that only increase. */
export * from "./change/index.js";
export * from "./changeMemory/index.js";
export * from "./changeSchema/index.js";
export * from "./key/index.js";
export * from "./keyRing/index.js";
export * from "./template/index.js";
export * from "./workspaceRegistry/index.js";
export * from "./workspaceView/index.js";
