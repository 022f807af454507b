/** Published HTTP interfaces to callers, upstreams and the platform: paths, headers and message schemas. */
export * from "./announcement/index.js";
export * from "./bounds/index.js";
export * from "./caller/index.js";
export * from "./engine/index.js";
export * from "./platform/index.js";
export * from "./prefixes/index.js";
export * from "./readEntries/index.js";
