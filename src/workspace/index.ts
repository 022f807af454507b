/** Templates, the workspaces made from them, and their keys: who may do what, by revisions that never go back. */
export * from "./change/index.js";
export * from "./changeMemory/index.js";
export * from "./changeSchema/index.js";
export * from "./key/index.js";
export * from "./keyRing/index.js";
export * from "./registry/index.js";
export * from "./template/index.js";
export * from "./workspaceView/index.js";
