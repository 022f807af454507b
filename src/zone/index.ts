/** Availability zones that an operator has evacuated: nothing is sent to their upstreams until they are restored. */
export * from "./zoneBook/index.js";
