/** What the system says over HTTP to callers, upstreams and the platform: published shapes, in one place each. */
export * from "./announcement/index.js";
export * from "./caller/index.js";
export * from "./engine/index.js";
export * from "./platform/index.js";
export * from "./prefixes/index.js";
