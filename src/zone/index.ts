/**
 * Evacuation of availability zones by an operator: nothing is sent to the upstreams of an evacuated zone until it is
 * restored.
 */
export * from "./evacuationTable/index.js";
