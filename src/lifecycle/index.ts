/**
 * The lives of tasks: whoever starts something hands its clean-up to a `Lifecycle`, and closing that closes all, the
 * last started first; a `Gate` wakes tasks that wait for a change.
 */
export * from "./gate/index.js";
export * from "./lifecycle/index.js";
