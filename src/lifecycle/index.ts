/**
 * Ownership and clean-up: whoever starts something hands its clean-up to a `Lifecycle`, and closing that closes all, the
 * last started first.
 */
export * from "./lifecycle/index.js";
